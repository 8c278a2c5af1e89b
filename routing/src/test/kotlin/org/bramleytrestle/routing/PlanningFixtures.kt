package org.bramleytrestle.routing

import com.github.michaelbull.result.unwrap
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.SettingsState

internal fun settings(layers: Int = 32): SettingsState = SettingsState.of(
    1,
    Json.parseToJsonElement(
        """{"models": {"drafter": {"layers": $layers, "version": "2"}},
            "pools": {
              "new": {"kind": "engine", "model": "drafter", "side": "new"},
              "old": {"kind": "engine", "model": "drafter", "side": "old"},
              "booking": {"kind": "service", "service": "booking", "side": "new"}}}"""
    ).jsonObject
).unwrap()

internal fun engine(
    id: String,
    layers: IntRange,
    pool: String? = "new",
    version: String? = "2",
    dataCentre: String = "a",
    leaving: Boolean = false
) = Instance(
    id = InstanceId(id),
    role = InstanceRole.ENGINE,
    address = "http://$id",
    dataCentre = DataCentre(dataCentre),
    pool = pool,
    model = ModelName("drafter"),
    version = version,
    layers = LayerRange(layers.first, layers.last + 1),
    leaving = leaving
)

internal fun report(
    instance: String,
    microsPerLayer: Long = 100,
    queueMicros: Long = 0,
    sequence: Long = 1,
    leaving: Boolean = false
) = LoadReport(
    instance = InstanceId(instance),
    microsPerLayer = microsPerLayer,
    queueMicros = queueMicros,
    sequence = sequence,
    leaving = leaving
)

internal fun snapshot(
    servers: List<Instance>,
    reports: List<LoadReport> = servers.map { report(it.id.value) },
    layers: Int = 32,
    linkMicros: Map<String, Long> = emptyMap()
) = RoutingSnapshot(
    settings = settings(layers),
    servers = servers.associateBy { it.id },
    reports = reports.associateBy { it.instance },
    linkMicros = linkMicros,
    dataCentre = "a"
)

internal fun query(side: Side = Side.NEW, excluded: Set<InstanceId> = emptySet()) = ChainQuery(
    model = ModelName("drafter"),
    service = ServiceName("drafter"),
    side = side,
    promptTokens = 32,
    expectedTokens = 16,
    excluded = excluded
)

internal fun ChainPlan.ids(): List<String> = hops.map { it.instance.value }
