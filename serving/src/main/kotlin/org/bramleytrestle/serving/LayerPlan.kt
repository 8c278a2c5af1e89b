package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * What each server is to hold.
 *
 * @property layers by server id; servers that are left out hold nothing new.
 * @property complete whether every group holds the whole model.
 */
public data class LayerPlan(val layers: Map<String, LayerRange>, val complete: Boolean)
