package org.bramleytrestle.serving

/** What a caller may send and how long its connection may stay unused. */
public data class CallerLimits(val headerBytes: Int = 16_384, val bodyBytes: Long = 4_194_304)
