package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/**
 * Load of a backend server at one point in time. Reports can arrive late and out of order;
 * [sequence] orders those of one server, so that an older report never replaces a newer one.
 *
 * @property microsPerLayer compute time of one decode step for one layer, in microseconds.
 * @property queueMicros estimated queueing time of a new step, in microseconds.
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
