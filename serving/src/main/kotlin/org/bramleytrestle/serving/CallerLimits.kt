package org.bramleytrestle.serving

/** What a caller may send. */
public data class CallerLimits(val bodyBytes: Long = DEFAULT_BODY_BYTES) {
    public companion object {
        /** For deployments that state no limit; many times the longest prompt. */
        public const val DEFAULT_BODY_BYTES: Long = 4_194_304
    }
}
