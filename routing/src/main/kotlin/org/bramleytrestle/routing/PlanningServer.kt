package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.StageHop

/**
 * A usable server with its load according to one snapshot.
 *
 * @property index position in its [ServerGroup].
 * @property dataCentre position in the [LinkTable].
 * @property heldLayers the layers it holds; it can run any contiguous part of them.
 * @property queueMicros reported queueing time of a new step.
 */
internal class PlanningServer(
    val index: Int,
    val id: InstanceId,
    val address: String,
    val dataCentre: Int,
    val heldLayers: LayerRange,
    val microsPerLayer: Double,
    val queueMicros: Double,
    val slots: Int,
    val recentChoices: RecentChoices
) {
    /** Queueing time that one attempt adds for the next one. */
    private val microsPerAttempt: Double = microsPerLayer * heldLayers.size / slots

    /** Queueing time caused by attempts of this node that the last report cannot include yet. */
    fun unreportedMicros(inFlight: (InstanceId) -> Int): Double {
        val unreported = recentChoices.unreported()
        if (unreported == 0) return 0.0
        return minOf(unreported, inFlight(id)) * microsPerAttempt
    }

    fun hop(layers: LayerRange): StageHop = StageHop(id, address, layers)
}
