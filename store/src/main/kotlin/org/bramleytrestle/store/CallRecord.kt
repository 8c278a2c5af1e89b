package org.bramleytrestle.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Stored state of one call. Only the attempt [attemptId] may have run it. */
@Serializable
internal data class CallRecord(
    val attemptId: String,
    val state: State,
    val changedMillis: Long,
    val outcome: JsonElement? = null
) {
    @Serializable
    enum class State {
        @SerialName("started")
        STARTED,

        @SerialName("completed")
        COMPLETED,

        /** The attempt is proven not to have run, so another attempt may begin. */
        @SerialName("notRun")
        NOT_RUN
    }
}
