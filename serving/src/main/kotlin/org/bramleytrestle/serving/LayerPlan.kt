package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * The layers that each server should hold.
 *
 * @property layers by server id; servers that are absent get no order.
 * @property complete whether every group of servers holds the whole model.
 */
public data class LayerPlan(val layers: Map<String, LayerRange>, val complete: Boolean)
