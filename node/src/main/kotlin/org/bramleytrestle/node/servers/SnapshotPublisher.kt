package org.bramleytrestle.node.servers

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.routing.ChainPlanner
import org.bramleytrestle.routing.RoutingSnapshot
import org.bramleytrestle.settings.SettingsState

/** Rebuilds the routing snapshot off the request path: at intervals, and soon after a sign. */
internal class SnapshotPublisher(
    private val planner: ChainPlanner,
    private val registry: ServerRegistry,
    private val settings: () -> SettingsState,
    private val base: RoutingSnapshot,
    private val onPublished: () -> Unit
) {
    private val signs = Channel<Unit>(Channel.CONFLATED)

    /** Something changed that decisions must see soon. */
    fun request() {
        signs.trySend(Unit)
    }

    suspend fun run(): Nothing {
        while (true) {
            publish()
            withTimeoutOrNull(INTERVAL) { signs.receive() }
            delay(MIN_INTERVAL)
        }
    }

    fun publish() {
        planner.publish(
            base.copy(
                settings = settings(),
                servers = registry.usable(),
                reports = registry.reports()
            )
        )
        onPublished()
    }

    private companion object {
        val INTERVAL = 200.milliseconds

        // Bounds the share of a core that rebuilds take when many signs arrive.
        val MIN_INTERVAL = 20.milliseconds
    }
}
