package org.bramleytrestle.standins.measure

/**
 * One streamed completion as its caller saw it; times from [System.nanoTime].
 *
 * @property failure error kind, or why the connection broke; null for a complete answer.
 * @property notRun whether the refusal stated that the request was not run.
 */
internal class MeasuredStream(
    val sentNanos: Long,
    val tokenNanos: LongArray,
    val endNanos: Long,
    val failure: String?,
    val notRun: Boolean,
    val correct: Boolean
) {
    val completed: Boolean get() = failure == null
    val totalMillis: Double get() = (endNanos - sentNanos) / NANOS_PER_MILLI

    /** Time until the first token, or null without one. */
    val waitMillis: Double?
        get() = tokenNanos.firstOrNull()?.let { (it - sentNanos) / NANOS_PER_MILLI }

    /** Longest time without a token that spans [at], or null if none does. */
    fun gapAcrossMillis(at: Long): Double? {
        val before = tokenNanos.lastOrNull { it <= at } ?: return null
        val after = tokenNanos.firstOrNull { it > at } ?: return null
        return (after - maxOf(before, at)) / NANOS_PER_MILLI
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
    }
}
