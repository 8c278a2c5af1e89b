package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.StageHop

/**
 * A usable server with the load that one snapshot knows of.
 *
 * @property index position in its [ServerGroup].
 * @property dataCentre position in the [LinkTable].
 * @property held the layers it can run, or any part of them.
 * @property queueMicros reported wait of a new step.
 */
internal class PlanningServer(
    val index: Int,
    val id: InstanceId,
    val address: String,
    val dataCentre: Int,
    val held: LayerRange,
    val microsPerLayer: Double,
    val queueMicros: Double,
    val slots: Int,
    val recent: RecentChoices
) {
    /** What one more attempt adds to the wait of the next one. */
    private val microsPerAttempt: Double = microsPerLayer * held.size / slots

    /** Wait that this node's attempts cause and that the report can't contain. */
    fun unreportedMicros(inFlight: (InstanceId) -> Int): Double {
        val unreported = recent.unreported()
        if (unreported == 0) return 0.0
        return minOf(unreported, inFlight(id)) * microsPerAttempt
    }

    fun hop(layers: LayerRange): StageHop = StageHop(id, address, layers)
}
