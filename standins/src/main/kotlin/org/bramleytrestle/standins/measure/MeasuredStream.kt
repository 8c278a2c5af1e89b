package org.bramleytrestle.standins.measure

/**
 * A streamed completion as observed by its caller. Times are from [System.nanoTime].
 *
 * @property failure error kind, or the cause of a broken connection; null for a complete answer.
 * @property notRun whether the refusal stated that the request was not executed.
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

    /** Time to first token, or null if there was none. */
    val waitMillis: Double?
        get() = tokenNanos.firstOrNull()?.let { (it - sentNanos) / NANOS_PER_MILLI }

    /** Time from [at] to the next token, or null unless there are tokens before and after [at]. */
    fun gapAcrossMillis(at: Long): Double? {
        val before = tokenNanos.lastOrNull { it <= at } ?: return null
        val after = tokenNanos.firstOrNull { it > at } ?: return null
        return (after - maxOf(before, at)) / NANOS_PER_MILLI
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
    }
}
