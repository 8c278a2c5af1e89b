package org.bramleytrestle.routing

/** One-way latencies between data centres, indexed so that decisions build no string keys. */
internal class LinkTable(names: Set<String>, linkMicros: Map<String, Long>) {
    private val positions = names.withIndex().associate { (position, name) -> name to position }
    private val micros = names.map { from ->
        names.map { to -> latency(from, to, linkMicros) }.toDoubleArray()
    }

    val size: Int get() = micros.size

    fun position(dataCentre: String): Int = positions.getValue(dataCentre)

    fun micros(from: Int, to: Int): Double = micros[from][to]

    /** Latencies from one data centre to all; callers must not modify the array. */
    fun row(from: Int): DoubleArray = micros[from]

    private fun latency(from: String, to: String, configured: Map<String, Long>): Double =
        configured["$from>$to"]?.toDouble() ?: if (from == to) 0.0 else UNKNOWN_LINK_MICROS

    private companion object {
        /** Links within a region take well under 1 ms. */
        const val UNKNOWN_LINK_MICROS = 500.0
    }
}
