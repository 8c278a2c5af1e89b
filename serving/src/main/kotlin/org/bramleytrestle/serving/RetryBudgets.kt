package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.bramleytrestle.routing.RetryBudget

/**
 * This node's part of the retries that all nodes together may send to a service. Nodes do not
 * exchange their retry counts, so the fixed allowance is divided among them.
 *
 * The counts are lost with the process. An earlier process of this node may have used its part up
 * to the moment of its end, so the fixed allowance is available only after one window.
 *
 * @param ratio retries allowed per first attempt.
 * @param slack retries per window that all nodes together may send to a service regardless of
 * traffic.
 * @param window length of the window in which retries and first attempts are counted.
 * @param share fraction of the requests that this node is expected to receive, from 0 to 1.
 * @param onDecision called for each retry that was asked for, with whether the budget allowed it.
 */
public class RetryBudgets(
    private val ratio: Double,
    private val slack: Int,
    private val window: Duration,
    private val share: () -> Double,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onDecision: (service: String, allowed: Boolean) -> Unit = { _, _ -> }
) {
    private val start = clock.markNow()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()

    public fun countFirst(service: String): Unit = of(service).recordFirstAttempt()

    /**
     * Uses one retry if the budget allows it.
     *
     * @param reserve part of the budget, from 0 to 1, that is left to more important retries.
     */
    public fun tryRetry(service: String, reserve: Double = 0.0): Boolean {
        val budget = of(service)
        val share = if (start.elapsedNow() < window) 0.0 else share()
        val part = SAFETY_FACTOR * (1 - reserve)
        val allowed =
            budget.tryRetry(ratio * part, minRetries = (slack * part * share).toInt())
        onDecision(service, allowed)
        // Denied retries may be as many as requests; the metrics count them.
        if (allowed) {
            log.info {
                "retries: service=$service share=$share retries=${budget.retryCount} " +
                    "firsts=${budget.firstCount}"
            }
        }
        return allowed
    }

    private fun of(service: String) = budgets.computeIfAbsent(service) {
        RetryBudget(clock, window)
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Leaves a margin for nodes that few others know and for the sliding of the windows. */
        const val SAFETY_FACTOR = 0.9
    }
}
