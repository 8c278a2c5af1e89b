package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.SettingsState

/**
 * Everything a decision reads. Immutable; a new one replaces it as a whole.
 *
 * @property servers backend servers that are not known to be leaving or failed.
 * @property linkMicros one-way time between two data centres in microseconds, by "from>to".
 */
public data class RoutingSnapshot(
    val settings: SettingsState,
    val servers: Map<InstanceId, Instance>,
    val reports: Map<InstanceId, LoadReport>,
    val linkMicros: Map<String, Long> = emptyMap(),
    val dataCentre: String = ""
)
