package org.bramleytrestle.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and size limits of the clients.
 *
 * @property heartbeat interval of the engines' pings. A hop without activity is probed after one
 * interval and counts as failed after two.
 * @property stallTimeout time without a token after which an attempt fails even if all hops respond
 * to probes, because a connection between two hops can be unresponsive while new ones work.
 * @property maxBodyBytes maximum size of a response body of a plain service, in bytes.
 */
public data class BackendOptions(
    val heartbeat: Duration = 500.milliseconds,
    val stallTimeout: Duration = 10.seconds,
    val connectTimeout: Duration = 500.milliseconds,
    val maxBodyBytes: Long = 8L * 1024 * 1024
) {
    /** Time without received bytes after which a hop counts as failed. */
    public val inactivityTimeout: Duration get() = heartbeat * 2
}
