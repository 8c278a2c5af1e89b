package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/**
 * A backend server that a node could not reach or that another server reported as faulty.
 *
 * @property bornMillis Unix time of its start; the failure says nothing about a later start.
 * @property ageMillis time since the failure.
 */
@Serializable
public data class FailedServer(val id: String, val bornMillis: Long, val ageMillis: Long = 0) {
    internal val age: Duration get() = ageMillis.milliseconds
}
