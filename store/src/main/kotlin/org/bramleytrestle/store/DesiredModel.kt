package org.bramleytrestle.store

import org.bramleytrestle.model.LayerRange

/** What the settings want of one model: [replicas] engines with [version] for each range. */
public data class DesiredModel(
    val version: String,
    val ranges: List<LayerRange>,
    val replicas: Int = 1
)
