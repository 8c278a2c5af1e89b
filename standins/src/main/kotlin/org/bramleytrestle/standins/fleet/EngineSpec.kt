package org.bramleytrestle.standins.fleet

import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.standins.engine.EngineConfig

/** A stand-in engine to start; [microsPerLayer] is the duration of one step for one layer. */
internal data class EngineSpec(
    val id: String,
    val pool: String,
    val model: String,
    val layers: LayerRange,
    val modelLayers: Int,
    val version: String = "1",
    val accelerator: String = "a",
    val dataCentre: String = "dc1",
    val microsPerLayer: Long = 500,
    val slots: Int = 8
) {
    fun config(port: Int) = EngineConfig(
        id = id,
        port = port,
        model = model,
        version = version,
        layers = layers,
        modelLayers = modelLayers,
        accelerator = accelerator,
        dataCentre = dataCentre,
        microsPerLayer = microsPerLayer,
        slots = slots
    )
}
