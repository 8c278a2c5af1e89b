package org.bramleytrestle.store

import org.bramleytrestle.model.LayerRange

/** Desired state of one model: [replicas] engines that hold [version] for each of [ranges]. */
public data class DesiredModel(
    val version: String,
    val ranges: List<LayerRange>,
    val replicas: Int = 1
)
