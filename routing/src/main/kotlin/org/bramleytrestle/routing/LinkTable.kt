package org.bramleytrestle.routing

/** One-way link times between data centres by position, so that a decision builds no keys. */
internal class LinkTable(names: Set<String>, linkMicros: Map<String, Long>) {
    private val positions = names.withIndex().associate { (position, name) -> name to position }
    private val micros = names.map { from ->
        names.map { to -> time(from, to, linkMicros) }.toDoubleArray()
    }

    val size: Int get() = micros.size

    fun position(dataCentre: String): Int = positions.getValue(dataCentre)

    fun micros(from: Int, to: Int): Double = micros[from][to]

    /** Times from one data centre to every other; not to be changed. */
    fun row(from: Int): DoubleArray = micros[from]

    private fun time(from: String, to: String, known: Map<String, Long>): Double =
        known["$from>$to"]?.toDouble() ?: if (from == to) 0.0 else UNKNOWN_LINK_MICROS

    private companion object {
        /** Data centres of one region are well under 1 ms apart. */
        const val UNKNOWN_LINK_MICROS = 500.0
    }
}
