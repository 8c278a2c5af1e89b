package org.bramleytrestle.routing

/** Cost in microseconds of [PlanningServer] running a number of layers; infinite if not allowed. */
internal fun interface HopCost {
    fun micros(server: PlanningServer, layers: Int): Double
}
