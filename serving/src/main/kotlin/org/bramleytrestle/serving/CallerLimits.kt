package org.bramleytrestle.serving

/** What a caller may send. */
public data class CallerLimits(val headerBytes: Int = 16_384, val bodyBytes: Long = 4_194_304)
