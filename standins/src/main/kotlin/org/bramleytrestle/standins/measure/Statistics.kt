package org.bramleytrestle.standins.measure

/** The value below which [share] of [values] lie; 0 without values. */
internal fun percentile(values: List<Double>, share: Double): Double {
    if (values.isEmpty()) return 0.0
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * share).toInt()]
}
