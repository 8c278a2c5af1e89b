package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits that the operators' deployment sets.
 *
 * @property retryRatio repeats for each request that all nodes may send to a service.
 * @property retrySlack repeats that all nodes may send in any case.
 * @property keyRevocation time after which a removed key must not pass anywhere.
 * @property processGrace time between the request to stop and the forced end of the process.
 */
public data class ServingBounds(
    val retryRatio: Double = 0.2,
    val retrySlack: Int = 0,
    val keyRevocation: Duration = 5.seconds,
    val processGrace: Duration = 8.seconds
) {
    /** Oldest confirmation of the configuration with which a key still passes. */
    public val maxConfirmationAge: Duration get() = keyRevocation - KEY_MARGIN

    private companion object {
        /** Time for a request to get from the check of its key to the server. */
        val KEY_MARGIN = 800.milliseconds
    }
}
