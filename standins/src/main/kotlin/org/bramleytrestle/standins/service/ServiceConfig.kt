package org.bramleytrestle.standins.service

import kotlinx.serialization.Serializable

/**
 * Configuration of a stand-in service.
 *
 * @property port port to listen on; 0 selects a free port.
 * @property maxRunning maximum number of concurrent calls; more are refused with `full`.
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
