package org.bramleytrestle.serving

/**
 * A kind of accelerator.
 *
 * @property pace factor on the time of a step; higher is slower.
 */
public data class Accelerator(val megabytes: Double, val pace: Double)
