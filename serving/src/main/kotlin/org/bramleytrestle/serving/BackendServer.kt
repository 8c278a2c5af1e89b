package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/**
 * What one backend server last said of itself.
 *
 * @property slots requests that it runs at once.
 * @property bornMillis time of day of its start; tells two runs under one id apart.
 * @property card kind of accelerator.
 * @property held layers that it holds; null while it holds none.
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
