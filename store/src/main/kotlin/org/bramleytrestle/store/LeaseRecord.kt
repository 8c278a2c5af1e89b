package org.bramleytrestle.store

import kotlinx.serialization.Serializable

/**
 * Stored state of a lease.
 *
 * @property holder null after a release.
 * @property renewals changes with each renewal, because an update that changes nothing may keep
 * the version.
 */
@Serializable
internal data class LeaseRecord(
    val holder: String?,
    val fencingNumber: Long,
    val durationMillis: Long,
    val renewals: Long = 0
)
