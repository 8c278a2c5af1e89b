package org.bramleytrestle.store

import org.bramleytrestle.settings.Change

/** Result of [ChangeLog.append]. */
public sealed interface AppendOutcome {
    /** The change is stored in the log at its revision. */
    public data object Accepted : AppendOutcome

    /** Another change, [winner], already occupies the revision. */
    public data class Conflict(val winner: Change) : AppendOutcome

    /** The change may be in the log; appending the same change id again resolves the outcome. */
    public data object Unknown : AppendOutcome

    /** The change is not in the log. */
    public data object Unavailable : AppendOutcome
}
