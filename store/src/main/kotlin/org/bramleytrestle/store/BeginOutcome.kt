package org.bramleytrestle.store

import kotlinx.serialization.json.JsonElement

/** Result of [CallRecords.begin]: whether a non-repeatable call may be sent. */
public sealed interface BeginOutcome {
    /**
     * Only the attempt that holds [claim] may send the call. Its result must be reported to
     * [CallRecords].
     */
    public data class Granted(val claim: CallClaim) : BeginOutcome

    /** An earlier attempt completed with [outcome]. */
    public data class Completed(val outcome: JsonElement) : BeginOutcome

    /** Another attempt was started, and its outcome is not known or not known yet. */
    public data object InProgressOrUnknown : BeginOutcome

    /** The platform gave no definite response; the call must be rejected as not run. */
    public data object Unavailable : BeginOutcome
}
