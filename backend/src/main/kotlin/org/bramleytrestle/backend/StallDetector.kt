package org.bramleytrestle.backend

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.bramleytrestle.model.StageHop

/**
 * Finds the failed hop of a chain that makes no progress. Probing starts one heartbeat after the
 * last progress and a probe takes at most one more, so an unresponsive hop is found after two.
 */
internal class StallDetector(
    private val probes: HealthProbes,
    private val options: BackendOptions,
    private val clock: TimeSource
) {
    private val lastProgress = AtomicReference<TimeMark>(clock.markNow())

    fun recordProgress() {
        lastProgress.set(clock.markNow())
    }

    /**
     * Suspends until one of [candidates] is unresponsive or there was no progress for the stall
     * timeout. The latter counts as a failure of the first candidate, which waits for the others.
     */
    suspend fun awaitFailedHop(candidates: () -> List<StageHop>): StageHop {
        while (true) {
            val last = lastProgress.get()
            val idle = last.elapsedNow()
            if (idle < options.heartbeat) {
                delay(options.heartbeat - idle)
                continue
            }
            val hops = candidates()
            val stalled = idle > options.stallTimeout
            val failed = if (stalled) hops.firstOrNull() else firstUnresponsive(hops)
            if (failed != null && lastProgress.get() === last) return failed
            delay(options.heartbeat / 2)
        }
    }

    private suspend fun firstUnresponsive(hops: List<StageHop>): StageHop? = coroutineScope {
        val failures = hops.map { async { probes.failure(it.address) } }.awaitAll()
        hops.zip(failures).firstOrNull { it.second != null }?.first
    }
}
