package org.bramleytrestle.serving

/**
 * A kind of accelerator.
 *
 * @property megabytes memory for weights and request caches.
 * @property stepTimeFactor factor applied to the duration of a step; higher is slower.
 */
public data class Accelerator(val megabytes: Double, val stepTimeFactor: Double)
