package org.bramleytrestle.standins.platform

/** One change in the history of a kind; [before] and [after] are null around a life. */
public data class StoreEvent(
    val version: Long,
    val atMillis: Long,
    val before: StandInObject?,
    val after: StandInObject?
)
