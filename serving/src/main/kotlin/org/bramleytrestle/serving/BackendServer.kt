package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * A backend server as described by its latest entry in the store.
 *
 * @property slots number of requests that it runs concurrently.
 * @property bornMillis Unix time of its start; distinguishes restarts under the same id.
 * @property card kind of accelerator.
 * @property held layers that it has loaded; null if none.
 */
public data class BackendServer(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val leaving: Boolean = false,
    val bornMillis: Long = 0,
    val card: String? = null,
    val held: LayerRange? = null
)
