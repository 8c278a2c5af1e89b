package org.bramleytrestle.store

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.LayerRange

/**
 * The controller's view of one engine.
 *
 * @property ready whether the engine can serve the layers it reports. False while an order to it is
 * open, because a delayed report may still show layers that it has already unloaded.
 * @property usable whether an order may be sent to the engine.
 * @property target placement that the engine was ordered to load; null if no order is open or the
 * order has timed out.
 */
internal data class EngineState(
    val instance: Instance,
    val version: String?,
    val layers: LayerRange?,
    val ready: Boolean,
    val usable: Boolean,
    val target: Placement? = null
) {
    /** Placement that the engine can serve, or null. */
    val held: Placement? get() = if (ready) placement else null

    private val placement: Placement?
        get() = if (version != null && layers != null) Placement(version, layers) else null
}
