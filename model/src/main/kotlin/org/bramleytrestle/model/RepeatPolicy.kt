package org.bramleytrestle.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a call to a plain service may be retried when its outcome is unknown. */
@Serializable
public enum class RepeatPolicy {
    /** Executed at most once; the node stores a call record if there is an idempotency key. */
    @SerialName("never")
    NEVER,

    /** The backend server deduplicates calls by their idempotency key. */
    @SerialName("deduplicated")
    DEDUPLICATED,

    /** Idempotent, so it may be retried. */
    @SerialName("repeatable")
    REPEATABLE
}
