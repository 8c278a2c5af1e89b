package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.routing.RetryBudget

/**
 * Limits set by the deployment.
 *
 * @property retryRatio retries per request that all nodes together may send to a service.
 * @property retrySlack retries per window that all nodes together may send to a service regardless
 * of traffic.
 * @property retryWindow length of that window; it may begin at any time.
 * @property keyRevocation time after which no node may accept a removed key.
 * @property configPropagation time after which a new configuration must be in force.
 * @property processGrace time between the stop request and the forced end of the process.
 */
public data class ServingBounds(
    val retryRatio: Double = 0.2,
    val retrySlack: Int = 0,
    val retryWindow: Duration = RetryBudget.DEFAULT_WINDOW,
    val keyRevocation: Duration = 5.seconds,
    val processGrace: Duration = 8.seconds,
    val configPropagation: Duration = keyRevocation
) {
    /** Greatest age of the configuration's confirmation at which keys are still accepted. */
    public val maxConfirmationAge: Duration get() = keyRevocation - KEY_MARGIN

    /**
     * Greatest age of the configuration's confirmation at which a route or key may be called
     * unknown: a newer configuration that has it must not be in force yet.
     */
    public val maxDenialAge: Duration get() = minOf(configPropagation, maxConfirmationAge)

    private companion object {
        /** Time that a request takes from the check of its key to the server. */
        val KEY_MARGIN = 800.milliseconds
    }
}
