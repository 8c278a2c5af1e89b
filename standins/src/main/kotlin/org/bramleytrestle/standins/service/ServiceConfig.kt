package org.bramleytrestle.standins.service

import kotlinx.serialization.Serializable

/**
 * One stand-in plain service.
 *
 * @property port 0 picks a free port.
 * @property maxRunning bookings in progress beyond which new ones are refused as `full`.
 */
@Serializable
public data class ServiceConfig(
    val id: String,
    val port: Int = 0,
    val dataCentre: String = "dc1",
    val workMillis: Long = 5,
    val maxRunning: Int = 256,
    val reportLagMillis: Long = 100
)
