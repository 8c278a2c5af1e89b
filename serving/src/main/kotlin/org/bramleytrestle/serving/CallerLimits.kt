package org.bramleytrestle.serving

/** Limits on the requests of callers. */
public data class CallerLimits(val bodyBytes: Long = DEFAULT_BODY_BYTES) {
    public companion object {
        /** Used if the configuration sets no limit; many times the size of the longest prompt. */
        public const val DEFAULT_BODY_BYTES: Long = 4_194_304
    }
}
