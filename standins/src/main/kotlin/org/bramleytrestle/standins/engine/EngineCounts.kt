package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/**
 * What an engine did since it started.
 *
 * @property tokens tokens sampled here, as the last hop.
 * @property activeRequests requests and attempts that have state.
 * @property refusedSteps steps refused with `kvMismatch`, so not run.
 * @property violations steps that ran twice, out of order or for a superseded attempt; 0 unless a
 * safety rule was broken.
 * @property staleOrders orders carried out despite a stale fencing number.
 */
@Serializable
public data class EngineCounts(
    val steps: Long,
    val tokens: Long,
    val activeRequests: Int,
    val streams: Int,
    val refusedSteps: Long,
    val cancelled: Long,
    val violations: Long,
    val orders: Long,
    val staleOrders: Long
)
