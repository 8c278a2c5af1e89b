package org.bramleytrestle.serving

/** Kinds of announcements by which a server holds requests back. */
public enum class AnnouncementKind(public val label: String) {
    /** The server takes a number of requests a second from all nodes together. */
    LIMIT("limit"),

    /** The server is about to end. */
    LEAVING("leaving"),

    /** The server wants nothing from this node for a time. */
    WAIT("wait")
}
