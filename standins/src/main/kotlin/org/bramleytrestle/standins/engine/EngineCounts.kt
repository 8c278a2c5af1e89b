package org.bramleytrestle.standins.engine

import kotlinx.serialization.Serializable

/**
 * Counters of an engine since its start.
 *
 * @property tokens tokens sampled by this engine as the last hop.
 * @property activeRequests attempts of requests that currently have state.
 * @property refusedSteps steps refused with `kvMismatch` and therefore not executed.
 * @property violations steps executed twice, out of order or for a superseded attempt; 0 unless a
 * safety rule was violated.
 * @property staleOrders orders executed despite a stale fencing number.
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
