package org.bramleytrestle.model

/** What a refused or failed request may claim about its execution. */
public enum class Executed(public val wireName: String) {
    NO("no"),
    UNKNOWN("unknown")
}
