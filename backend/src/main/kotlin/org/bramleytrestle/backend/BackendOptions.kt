package org.bramleytrestle.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time and size bounds of the clients.
 *
 * @property inactivityBound after this time without a byte a hop counts as failed; two heartbeat
 * intervals of the engines.
 * @property stallBound after this time without a token an attempt fails although all hops answer
 * probes, because a connection between two hops can be silent while new ones work.
 * @property maxBodyBytes longest answer of a plain service that is kept.
 */
public data class BackendOptions(
    val inactivityBound: Duration = 1000.milliseconds,
    val stallBound: Duration = 10.seconds,
    val connectBound: Duration = 500.milliseconds,
    val maxBodyBytes: Long = 8L * 1024 * 1024
)
