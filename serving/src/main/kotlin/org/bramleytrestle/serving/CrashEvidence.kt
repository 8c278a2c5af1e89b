package org.bramleytrestle.serving

import kotlinx.serialization.Serializable

/**
 * A prompt on which backend servers ended while they began to answer it.
 *
 * @property prompt id of the prompt's last part, which tells it from other prompts.
 * @property suspects ids of its other parts of which no answer is known.
 * @property servers the starts of servers that ended, each as id and time.
 * @property begun whether a server had sent the head of its answer, so that the request was
 * certainly running.
 * @property seenMillis Unix time of the last crash, or of the last request refused because of it.
 */
@Serializable
public data class CrashEvidence(
    val prompt: String,
    val suspects: Set<String>,
    val servers: Set<String>,
    val begun: Boolean,
    val seenMillis: Long
) {
    /** What two nodes know together: a part of which either knows an answer is not suspect. */
    public fun merge(other: CrashEvidence): CrashEvidence = copy(
        suspects = suspects intersect other.suspects,
        servers = servers + other.servers,
        begun = begun || other.begun,
        seenMillis = maxOf(seenMillis, other.seenMillis)
    )
}
