package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource
import org.bramleytrestle.routing.RetryBudget

/**
 * This node's part of the repeats that all nodes together may send to a service. Nodes do not
 * exchange what they used, so the fixed allowance is divided among them.
 *
 * @param ratio repeats allowed for each first attempt.
 * @param slack repeats that all nodes together have in any case in a window.
 * @param share part of the requests that this node is expected to get, from 0 to 1.
 */
public class RetryBudgets(
    private val ratio: Double,
    private val slack: Int,
    private val share: () -> Double,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic
) {
    private val budgets = ConcurrentHashMap<String, RetryBudget>()

    public fun countFirst(service: String): Unit = of(service).recordFirstAttempt()

    public fun tryRetry(service: String): Boolean =
        of(service).tryRetry(ratio * SAFETY, minRetries = (slack * SAFETY * share()).toInt())

    private fun of(service: String) = budgets.computeIfAbsent(service) { RetryBudget(clock) }

    private companion object {
        /** Keeps room for nodes that are known to few and for windows that slide. */
        const val SAFETY = 0.9
    }
}
