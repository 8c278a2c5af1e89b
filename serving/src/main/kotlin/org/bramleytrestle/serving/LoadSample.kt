package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/**
 * Load that a model server reported to some node.
 *
 * @property bornMillis Unix time of the server's start; the load says nothing about a later start.
 * @property ageMillis time since the report.
 */
@Serializable
public data class LoadSample(
    val id: String,
    val bornMillis: Long,
    val running: Int,
    val waiting: Int,
    val ageMillis: Long
) {
    internal val age: Duration get() = ageMillis.milliseconds
}
