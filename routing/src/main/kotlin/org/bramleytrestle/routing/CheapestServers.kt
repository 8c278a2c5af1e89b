package org.bramleytrestle.routing

/** The cheapest server of each cell for each number of layers, kept until its cell changes. */
internal class CheapestServers(cells: List<ServerCell>, private val cost: HopCost) {
    private val micros = Array(cells.size) { DoubleArray(cells[it].held.size + 1) { UNKNOWN } }
    private val servers =
        Array(cells.size) { arrayOfNulls<PlanningServer>(cells[it].held.size + 1) }

    fun micros(cell: ServerCell, layers: Int): Double {
        val known = micros[cell.number][layers]
        if (known >= 0) return known
        var best = Double.POSITIVE_INFINITY
        for (server in cell.servers) {
            val next = cost.micros(server, layers)
            if (next < best) {
                best = next
                servers[cell.number][layers] = server
            }
        }
        micros[cell.number][layers] = best
        return best
    }

    fun server(cell: ServerCell, layers: Int): PlanningServer =
        checkNotNull(servers[cell.number][layers])

    /** The cost of a server of [cell] changed. */
    fun changed(cell: ServerCell) {
        micros[cell.number].fill(UNKNOWN)
    }

    private companion object {
        const val UNKNOWN = -1.0
    }
}
