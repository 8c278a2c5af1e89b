package org.bramleytrestle.store

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ModelName

/** An order to [instance] to load [layers] of [version] of [model]. */
public data class ModelOrder(
    val orderId: String,
    val instance: Instance,
    val fencingNumber: Long,
    val model: ModelName,
    val version: String,
    val layers: LayerRange
)
