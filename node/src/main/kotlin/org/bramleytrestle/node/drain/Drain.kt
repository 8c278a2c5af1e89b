package org.bramleytrestle.node.drain

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.bramleytrestle.model.Invariants

private val log = KotlinLogging.logger {}

/**
 * Graceful shutdown of this node.
 *
 * @property keepTime how long callers may keep an answer of the entries call, margin included.
 * @property onLeaving tells the other nodes.
 */
internal class Drain(private val keepTime: Duration, private val onLeaving: () -> Unit) {
    private val current = AtomicReference(DrainPhase.RUNNING)
    private val active = AtomicInteger()

    val phase: DrainPhase get() = current.get()
    val inFlight: Int get() = active.get()

    /** Whether new requests are accepted; asked by a request that is counted already. */
    val accepting: Boolean get() = phase < DrainPhase.REFUSING

    /** Counts [exchange] as in flight until its answer is written. */
    fun counting(exchange: () -> Unit) {
        // Counted before the phase is read, so that the drain cannot miss a request in between.
        active.incrementAndGet()
        try {
            exchange()
        } finally {
            active.decrementAndGet()
        }
    }

    /** Leaves, waits out kept answers, refuses, and returns when nothing is in flight. */
    suspend fun run() {
        if (!current.compareAndSet(DrainPhase.RUNNING, DrainPhase.LEAVING)) return awaitDone()
        log.info { "node: leaving, still accepting for $keepTime" }
        onLeaving()
        delay(keepTime)
        current.set(DrainPhase.REFUSING)
        log.info { "node: refusing new requests, $inFlight in flight" }
        while (inFlight > 0) delay(POLL)
        Invariants.check("drain-cuts-nothing", inFlight == 0) { "$inFlight requests in flight" }
        current.set(DrainPhase.DONE)
        log.info { "node: drained" }
    }

    private suspend fun awaitDone() {
        while (phase != DrainPhase.DONE) delay(POLL)
    }

    private companion object {
        val POLL = 20.milliseconds
    }
}
