package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/** How an attempt ended, as far as routing learns from it. */
public sealed interface AttemptOutcome {
    public data object Completed : AttemptOutcome

    /** The caller went away; says nothing about the servers. */
    public data object Cancelled : AttemptOutcome

    /** [instance] failed the attempt; [overloaded] when it refused for lack of room. */
    public data class Failed(val instance: InstanceId, val overloaded: Boolean) : AttemptOutcome
}
