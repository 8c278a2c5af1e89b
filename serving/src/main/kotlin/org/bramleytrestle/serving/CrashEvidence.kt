package org.bramleytrestle.serving

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request on which backend servers ended while they began to answer it.
 *
 * @property request id of the request's content, which its repeats share.
 * @property suspects ids of the parts of its prompt of which no answer is known.
 * @property servers the starts of servers that ended, each as id and time.
 * @property begun whether a server had sent the head of its answer, so that the request was
 * certainly running.
 * @property seenMillis Unix time of the last crash, or of the last request refused because of it.
 * @property answered whether an answer to the request is known.
 * @property events events after which the answers ended at most; [ranMillis] is the time likewise.
 */
@Serializable
public data class CrashEvidence(
    @SerialName("prompt") val request: String,
    val suspects: Set<String>,
    val servers: Set<String>,
    val begun: Boolean,
    val seenMillis: Long,
    val answered: Boolean = false,
    val events: Int = 0,
    val ranMillis: Long = 0
) {
    /** How far answers to other requests have to get to clear what they have in common. */
    internal val extent: AnswerExtent get() = AnswerExtent(events, ranMillis.milliseconds)

    /** What two nodes know together: what either knows an answer to is not suspect. */
    public fun merge(other: CrashEvidence): CrashEvidence = copy(
        suspects = suspects intersect other.suspects,
        servers = servers + other.servers,
        begun = begun || other.begun,
        seenMillis = maxOf(seenMillis, other.seenMillis),
        answered = answered || other.answered,
        events = maxOf(events, other.events),
        ranMillis = maxOf(ranMillis, other.ranMillis)
    )

    override fun toString(): String = "request=$request suspects=${summarise(suspects)} " +
        "servers=$servers begun=$begun seenMillis=$seenMillis answered=$answered " +
        "events=$events ranMillis=$ranMillis"
}
