package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/**
 * Load of one backend server at the time it was taken. Reports lag; [sequence] orders the reports
 * of one server so that an older one never replaces a newer one.
 *
 * @property microsPerLayer compute time of one decode step for one layer, in microseconds.
 * @property queueMicros estimated wait of a new step before it runs, in microseconds.
 */
@Serializable
public data class LoadReport(
    val instance: InstanceId,
    val model: ModelName? = null,
    val version: String? = null,
    val layers: LayerRange? = null,
    val accelerator: String? = null,
    val running: Int = 0,
    val waiting: Int = 0,
    val slots: Int = 1,
    val microsPerLayer: Long = 0,
    val queueMicros: Long = 0,
    val leaving: Boolean = false,
    val takenAtMillis: Long = 0,
    val sequence: Long = 0
)
