package org.bramleytrestle.serving.admission

/** What became of work that asked for room. */
public enum class PlaceState(public val label: String) {
    WAITING("waiting"),
    STARTED("started"),

    /** There is no room in time, by the work ahead and the rate at which room comes free. */
    REFUSED("refused"),

    /** More urgent work arrived and left no time for this. */
    DISPLACED("displaced"),

    /** The caller or the deadline ended the wait. */
    CANCELLED("cancelled")
}
