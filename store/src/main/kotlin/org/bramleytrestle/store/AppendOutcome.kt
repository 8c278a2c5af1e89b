package org.bramleytrestle.store

import org.bramleytrestle.settings.Change

/** How an attempt to append a change to the log ended. */
public sealed interface AppendOutcome {
    /** The change is in the log at its revision. */
    public data object Accepted : AppendOutcome

    /** Another change has the revision. */
    public data class Conflict(val winner: Change) : AppendOutcome

    /** The change may be in the log; an append of the same change id later finds out. */
    public data object Unknown : AppendOutcome

    /** The change is not in the log. */
    public data object Unavailable : AppendOutcome
}
