package org.bramleytrestle.store

import kotlinx.serialization.Serializable

/**
 * Stored state of a lease.
 *
 * @property holder null after the lease was released.
 * @property renewals incremented by each renewal, because the store may keep the version if an
 * update does not change the value.
 * @property era of the store at the time of writing. A record of an earlier era came back with an
 * older copy of the store and says nothing about what has happened since.
 */
@Serializable
internal data class LeaseRecord(
    val holder: String?,
    val fencingNumber: Long,
    val durationMillis: Long,
    val renewals: Long = 0,
    val era: Long = 0
)
