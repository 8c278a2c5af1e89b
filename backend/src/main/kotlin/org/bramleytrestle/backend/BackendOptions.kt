package org.bramleytrestle.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time and size bounds of the clients.
 *
 * @property heartbeat interval of the engines' pings; a hop that gave no sign of life for one
 * interval is probed, and one that gave none for two counts as failed.
 * @property stallBound after this time without a token an attempt fails although all hops answer
 * probes, because a connection between two hops can be silent while new ones work.
 * @property maxBodyBytes longest answer of a plain service that is kept.
 */
public data class BackendOptions(
    val heartbeat: Duration = 500.milliseconds,
    val stallBound: Duration = 10.seconds,
    val connectBound: Duration = 500.milliseconds,
    val maxBodyBytes: Long = 8L * 1024 * 1024
) {
    /** After this time without a byte a hop counts as failed. */
    public val inactivityBound: Duration get() = heartbeat * 2
}
