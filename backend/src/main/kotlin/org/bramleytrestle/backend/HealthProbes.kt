package org.bramleytrestle.backend

import com.github.michaelbull.result.getError
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch

/**
 * Probes servers by requesting a report on a new connection, because an open connection can be
 * unresponsive while new ones work. All waiting requests share one probe per address and heartbeat,
 * so that the number of probes does not grow with the queue of a slow server.
 */
internal class HealthProbes(
    private val pools: HttpPools,
    private val options: BackendOptions,
    private val clock: TimeSource
) : AutoCloseable {
    private class Probe(val startedAt: TimeMark, val failure: Deferred<HopFailure?>)

    private val engines = EngineCalls(pools, options)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val probes = ConcurrentHashMap<String, Probe>()

    /** Why the server did not respond within a heartbeat, or null if it sent any response. */
    suspend fun failure(address: String): HopFailure? = probes.compute(address) { _, last ->
        last?.takeIf { it.startedAt.elapsedNow() < options.heartbeat } ?: start(address)
    }!!.failure.await()

    override fun close() {
        scope.cancel()
    }

    private fun start(address: String): Probe {
        if (probes.size > MAX_PROBES) removeExpired()
        val failure = scope.async {
            val url = engines.url(address, "/v1/report")
            engines.get(pools.freshClient(), url, options.heartbeat) {}.getError()
                ?.takeIf { it in UNRESPONSIVE }
        }
        return Probe(clock.markNow(), failure)
    }

    private fun removeExpired() {
        scope.launch { probes.values.removeIf { it.startedAt.elapsedNow() > options.heartbeat } }
    }

    private companion object {
        const val MAX_PROBES = 4096
        val UNRESPONSIVE = setOf(HopFailure.UNREACHABLE, HopFailure.BROKEN, HopFailure.SILENT)
    }
}
