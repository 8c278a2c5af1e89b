package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * What a server's answer says of the server itself.
 *
 * @property requestsPerSecond requests that the server takes from all nodes together; null if the
 * answer names no limit.
 * @property limitReadable whether the answer either names a limit or none; otherwise it changes
 * nothing that is known of the limit.
 * @property leaving whether the server is about to end.
 * @property wait time for which the server, which has refused a request, wants no other one from
 * this node; null if it named none.
 */
public data class ServerAnnouncement(
    val requestsPerSecond: Double? = null,
    val limitReadable: Boolean = true,
    val leaving: Boolean = false,
    val wait: Duration? = null
)
