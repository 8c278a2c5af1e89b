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
 * @property entriesMaxAge how long callers may use a cached response of `/v1/entries`, including a
 * margin.
 * @property onLeaving notifies the other nodes.
 */
internal class Drain(private val entriesMaxAge: Duration, private val onLeaving: () -> Unit) {
    private val currentPhase = AtomicReference(DrainPhase.RUNNING)
    private val inFlightCount = AtomicInteger()

    val phase: DrainPhase get() = currentPhase.get()
    val inFlight: Int get() = inFlightCount.get()

    /** Whether new requests are accepted. A request must be counted before it reads this. */
    val accepting: Boolean get() = phase < DrainPhase.REFUSING

    /** Runs [exchange] and counts it as in flight until its response is written. */
    fun trackInFlight(exchange: () -> Unit) {
        // Incremented before the handler reads the phase. Otherwise the drain could see no requests
        // in flight while an accepted one is about to start.
        inFlightCount.incrementAndGet()
        try {
            exchange()
        } finally {
            inFlightCount.decrementAndGet()
        }
    }

    /**
     * Notifies the other nodes, keeps accepting requests until cached entries responses have
     * expired, then refuses new requests and returns when none is in flight.
     */
    suspend fun run() {
        if (!currentPhase.compareAndSet(DrainPhase.RUNNING, DrainPhase.LEAVING)) {
            return awaitCompletion()
        }
        log.info { "node: drain started, accepting requests for another $entriesMaxAge" }
        onLeaving()
        delay(entriesMaxAge)
        currentPhase.set(DrainPhase.REFUSING)
        log.info { "node: refusing new requests, waiting for $inFlight requests in flight" }
        while (inFlight > 0) delay(POLL_INTERVAL)
        Invariants.check("drain-cuts-nothing", inFlight == 0) { "$inFlight requests in flight" }
        currentPhase.set(DrainPhase.DONE)
        log.info { "node: drain completed" }
    }

    private suspend fun awaitCompletion() {
        while (phase != DrainPhase.DONE) delay(POLL_INTERVAL)
    }

    private companion object {
        val POLL_INTERVAL = 20.milliseconds
    }
}
