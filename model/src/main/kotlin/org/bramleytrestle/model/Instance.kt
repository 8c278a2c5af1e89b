package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/**
 * One entry of the platform's instance list. The list is eventually consistent: [leaving] may
 * be set late, and a listed instance may already have stopped.
 *
 * @property address base URL for callers, such as `http://127.0.0.1:9001`.
 * @property peerAddress `host:port` of the peer listener; only set for [InstanceRole.ENTRY].
 * @property layers the layers that an engine has loaded; null for other roles.
 */
@Serializable
public data class Instance(
    val id: InstanceId,
    val role: InstanceRole,
    val address: String,
    val dataCentre: DataCentre,
    val peerAddress: String? = null,
    val pool: String? = null,
    val model: ModelName? = null,
    val version: String? = null,
    val layers: LayerRange? = null,
    val accelerator: String? = null,
    val leaving: Boolean = false
)
