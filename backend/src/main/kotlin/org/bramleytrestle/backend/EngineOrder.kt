package org.bramleytrestle.backend

import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ModelName

/** An order to an engine, sent by the holder of a lease. */
public data class EngineOrder(
    val orderId: String,
    val fencingNumber: Long,
    val action: OrderAction,
    val model: ModelName,
    val version: String,
    val adapter: String? = null,
    val layers: LayerRange? = null
)
