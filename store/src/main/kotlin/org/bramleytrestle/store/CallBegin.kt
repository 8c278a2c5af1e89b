package org.bramleytrestle.store

import kotlinx.serialization.json.JsonElement

/** Whether a call that may not be repeated can be sent to a backend server. */
public sealed interface CallBegin {
    /** This attempt, and no other, may send the call; [CallRecords] must learn how it ends. */
    public data class Run(val call: RecordedCall) : CallBegin

    /** An earlier attempt completed with [outcome]. */
    public data class Recorded(val outcome: JsonElement) : CallBegin

    /** Another attempt has begun and its outcome is not known (yet). */
    public data object InProgressOrUnknown : CallBegin

    /** The platform gave no certain answer; the call must be refused as not run. */
    public data object Unavailable : CallBegin
}
