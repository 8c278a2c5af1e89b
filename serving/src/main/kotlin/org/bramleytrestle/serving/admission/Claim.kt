package org.bramleytrestle.serving.admission

/**
 * What decides when waiting work starts.
 *
 * @property level urgency among the work of the same service, 0 first; [RESUMED] for answers that
 * have begun.
 * @property organisation whose turn the work takes; null for work of no organisation.
 * @property tokens size of the work.
 * @property aimNanos monotonic time until which a start still meets the caller's target latency.
 * @property endNanos monotonic time after which a start is of no use to the caller.
 */
public data class Claim(
    val level: Int,
    val organisation: String?,
    val tokens: Int,
    val aimNanos: Long,
    val endNanos: Long
) {
    public companion object {
        /** Goes before all other work, because a caller is reading its answer. */
        public const val RESUMED: Int = -1
    }
}
