package org.bramleytrestle.standins.measure

/** Returns the [quantile] of [values] from 0 to 1, without interpolation, or 0 if empty. */
internal fun percentile(values: List<Double>, quantile: Double): Double {
    if (values.isEmpty()) return 0.0
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * quantile).toInt()]
}
