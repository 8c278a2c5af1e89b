package org.bramleytrestle.store

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.LayerRange

/**
 * What the controller knows of one engine.
 *
 * @property ready whether the engine can serve what it holds now; false while an order to it is
 * open, because a lagging report may still show what it has given up.
 * @property usable whether an order may be sent to it.
 */
internal data class EngineState(
    val instance: Instance,
    val version: String?,
    val layers: LayerRange?,
    val ready: Boolean,
    val usable: Boolean,
    val target: Placement? = null
) {
    val held: Placement? get() = if (ready) placement else null

    private val placement: Placement?
        get() = if (version != null && layers != null) Placement(version, layers) else null
}
