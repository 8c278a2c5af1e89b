package org.bramleytrestle.node.servers

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.routing.ChainPlanner
import org.bramleytrestle.routing.RoutingSnapshot
import org.bramleytrestle.settings.SettingsState

/** Rebuilds the routing snapshot outside the request path, periodically and on request. */
internal class SnapshotPublisher(
    private val planner: ChainPlanner,
    private val registry: ServerRegistry,
    private val settings: () -> SettingsState,
    private val base: RoutingSnapshot,
    private val onPublished: () -> Unit
) {
    private val rebuildRequests = Channel<Unit>(Channel.CONFLATED)

    /** Requests a rebuild before the next periodic one, after a change that affects routing. */
    fun requestRebuild() {
        rebuildRequests.trySend(Unit)
    }

    suspend fun run(): Nothing {
        while (true) {
            val elapsed = measureTime(::publish)
            withTimeoutOrNull(REBUILD_INTERVAL) { rebuildRequests.receive() }
            // A rebuild takes 11 ms of a core at 6,300 servers; the delay limits it to about 1% of
            // a core.
            delay((elapsed * DELAY_FACTOR).coerceIn(MIN_DELAY, MAX_DELAY))
        }
    }

    fun publish() {
        planner.publish(
            base.copy(
                settings = settings(),
                servers = registry.usableServers(),
                reports = registry.reports()
            )
        )
        onPublished()
    }

    private companion object {
        val REBUILD_INTERVAL = 200.milliseconds
        const val DELAY_FACTOR = 100
        val MIN_DELAY = 20.milliseconds

        // A leaving server must get no new work later than 3 s after the first leave notification.
        val MAX_DELAY = 1.seconds
    }
}
