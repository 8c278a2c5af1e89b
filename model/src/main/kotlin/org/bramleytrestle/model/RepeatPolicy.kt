package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a call of a plain service may be sent again when its outcome is unknown. */
@Serializable
public enum class RepeatPolicy {
    /** At most one run; with an idempotency key the node keeps a call record. */
    @SerialName("never")
    NEVER,

    /** The backend server recognises the idempotency key itself. */
    @SerialName("deduplicated")
    DEDUPLICATED,

    /** Idempotent, may be sent again. */
    @SerialName("repeatable")
    REPEATABLE
}
