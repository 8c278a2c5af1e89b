package org.bramleytrestle.model

/** What an error response states about the execution of the request. */
public enum class Executed(public val wireName: String) {
    NO("no"),
    UNKNOWN("unknown")
}
