package org.bramleytrestle.routing

/** Cost in microseconds of running a number of layers on a server; infinite if not allowed. */
internal fun interface HopCost {
    fun micros(server: PlanningServer, layers: Int): Double
}
