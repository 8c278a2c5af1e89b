package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/** Outcome of an attempt as it matters to routing. */
public sealed interface AttemptOutcome {
    public data object Completed : AttemptOutcome

    /** Cancelled by the caller, which says nothing about the servers. */
    public data object Cancelled : AttemptOutcome

    /** Failed on [instance]; [overloaded] if it refused the attempt for lack of capacity. */
    public data class Failed(val instance: InstanceId, val overloaded: Boolean) : AttemptOutcome
}
