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
 * Finds the hop that is to blame when a chain makes no progress. Probing starts one heartbeat after
 * the last progress and a probe lasts at most one more, so a silent hop is found after two.
 */
internal class StallWatch(
    private val probes: Probes,
    private val options: BackendOptions,
    private val clock: TimeSource
) {
    private val progress = AtomicReference<TimeMark>(clock.markNow())

    fun progressed() {
        progress.set(clock.markNow())
    }

    /**
     * Waits until one of [suspects] is silent or nothing moved for the stall bound; the latter is
     * blamed on the first of them, which is the one that waits for the others.
     */
    suspend fun silentHop(suspects: () -> List<StageHop>): StageHop {
        while (true) {
            val last = progress.get()
            val quiet = last.elapsedNow()
            if (quiet < options.heartbeat) {
                delay(options.heartbeat - quiet)
                continue
            }
            val hops = suspects()
            val silent = if (quiet > options.stallBound) hops.firstOrNull() else firstSilent(hops)
            if (silent != null && progress.get() === last) return silent
            delay(options.heartbeat / 2)
        }
    }

    private suspend fun firstSilent(hops: List<StageHop>): StageHop? = coroutineScope {
        val failures = hops.map { async { probes.failure(it.address) } }.awaitAll()
        hops.zip(failures).firstOrNull { it.second != null }?.first
    }
}
