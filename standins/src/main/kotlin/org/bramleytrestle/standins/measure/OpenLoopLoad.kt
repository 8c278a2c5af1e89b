package org.bramleytrestle.standins.measure

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/** Sends requests at random times that do not depend on the answers. */
internal class OpenLoopLoad(private val caller: StreamCaller, private val entries: List<String>) {
    private val threads = Executors.newCachedThreadPool()

    /** Runs [phases] one after another and returns all streams once each has ended. */
    fun run(phases: List<LoadPhase>, random: Random): List<MeasuredStream> {
        val results = ConcurrentLinkedQueue<MeasuredStream>()
        val pending = mutableListOf<java.util.concurrent.Future<*>>()
        var at = System.nanoTime()
        for (phase in phases) {
            val end = at + (phase.seconds * NANOS_PER_SECOND).toLong()
            while (true) {
                // Exponential gaps: arrivals of independent callers.
                at += (-ln(1 - random.nextDouble()) / phase.perSecond * NANOS_PER_SECOND).toLong()
                if (at >= end) break
                val wait = at - System.nanoTime()
                if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
                val entry = entries.random(random)
                val text = "question ${random.nextInt()}"
                pending += threads.submit {
                    results += with(phase) {
                        caller.call(entry, service, tokens, deadlineMillis, text)
                    }
                }
            }
            at = end
        }
        pending.forEach { it.get() }
        return results.toList()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
