package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.SettingsState

/**
 * Immutable input of routing decisions; every update publishes a new snapshot.
 *
 * @property servers backend servers that are not known to be leaving or to have failed.
 * @property linkMicros one-way latency between data centres in microseconds, keyed by "from>to".
 */
public data class RoutingSnapshot(
    val settings: SettingsState,
    val servers: Map<InstanceId, Instance>,
    val reports: Map<InstanceId, LoadReport>,
    val linkMicros: Map<String, Long> = emptyMap(),
    val dataCentre: String = ""
)
