package org.bramleytrestle.serving

/**
 * What a server's answer says of the server itself.
 *
 * @property requestsPerSecond requests that the server takes from all nodes together; null if the
 * answer names no limit.
 */
public data class ServerAnnouncement(val requestsPerSecond: Double? = null) {
    public companion object {
        public val NONE: ServerAnnouncement = ServerAnnouncement()
    }
}
