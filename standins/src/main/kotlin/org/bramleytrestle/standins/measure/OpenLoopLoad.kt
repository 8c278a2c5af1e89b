package org.bramleytrestle.standins.measure

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/** Open-loop load generator: arrival times do not depend on the responses. */
internal class OpenLoopLoad(private val caller: StreamCaller, private val entries: List<String>) {
    private val threads = Executors.newCachedThreadPool()

    /** Runs [phases] in order and returns all streams after the last one has completed. */
    fun run(phases: List<LoadPhase>, random: Random): List<MeasuredStream> {
        val results = ConcurrentLinkedQueue<MeasuredStream>()
        val pending = mutableListOf<Future<*>>()
        var arrival = System.nanoTime()
        for (phase in phases) {
            val end = arrival + (phase.seconds * NANOS_PER_SECOND).toLong()
            while (true) {
                // Poisson arrivals, as from independent callers.
                arrival +=
                    (-ln(1 - random.nextDouble()) / phase.perSecond * NANOS_PER_SECOND).toLong()
                if (arrival >= end) break
                val wait = arrival - System.nanoTime()
                if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
                val entry = entries.random(random)
                val text = "question ${random.nextInt()}"
                pending += threads.submit {
                    results += with(phase) {
                        caller.call(entry, service, tokens, deadlineMillis, text)
                    }
                }
            }
            arrival = end
        }
        pending.forEach { it.get() }
        return results.toList()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
