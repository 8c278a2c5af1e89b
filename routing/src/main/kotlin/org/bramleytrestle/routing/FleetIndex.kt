package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.PoolKind

/**
 * The usable servers of a snapshot, grouped by model or service and side. The load report of an
 * engine is newer than the instance list and takes precedence over it.
 */
internal class FleetIndex(
    val snapshot: RoutingSnapshot,
    private val subset: ServerSubset? = null,
    private val recentChoices: (InstanceId) -> RecentChoices = { RecentChoices() }
) {
    private val document = snapshot.settings.document
    val links = LinkTable(
        names = snapshot.servers.values.mapTo(linkedSetOf(snapshot.dataCentre)) {
            it.dataCentre.value
        },
        linkMicros = snapshot.linkMicros
    )

    /** Position of this node's data centre in [links]. */
    val localDataCentre: Int = links.position(snapshot.dataCentre)
    val groups: Map<GroupKey, ServerGroup> = usableByKey()
        .mapValues { (key, usable) -> group(key, applySubset(key, usable)) }

    private class UsableServer(
        val instance: Instance,
        val report: LoadReport?,
        val heldLayers: LayerRange
    )

    private class Pool(val key: GroupKey, val usable: MutableList<UsableServer>)

    /** Resolves each pool once, because thousands of servers share a few pools. */
    private fun usableByKey(): Map<GroupKey, List<UsableServer>> {
        val byKey = LinkedHashMap<GroupKey, MutableList<UsableServer>>()
        val pools = HashMap<String, Pool>()
        for ((name, settings) in document.pools) {
            val key = GroupKey.of(settings) ?: continue
            pools[name] = Pool(key, byKey.getOrPut(key) { ArrayList() })
        }
        for (instance in snapshot.servers.values) {
            val pool = pools[instance.pool] ?: continue
            val report = snapshot.reports[instance.id]
            if (instance.leaving || report?.leaving == true) continue
            val heldLayers = heldLayers(instance, report, pool.key) ?: continue
            pool.usable += UsableServer(instance, report, heldLayers)
        }
        return byKey.filterValues { it.isNotEmpty() }
    }

    /** The layers held, or null if the server runs another model or version than [key] requires. */
    private fun heldLayers(instance: Instance, report: LoadReport?, key: GroupKey): LayerRange? {
        if (key.kind == PoolKind.SERVICE) return ONE_LAYER
        val settings = document.models[key.name] ?: return null
        val heldLayers = report?.layers ?: instance.layers ?: return null
        val matches = (report?.model ?: instance.model)?.value == key.name &&
            (report?.version ?: instance.version) == settings.version &&
            heldLayers.until <= settings.layers
        return heldLayers.takeIf { matches }
    }

    /** The servers of [usable] that belong to the subset of this node. */
    private fun applySubset(key: GroupKey, usable: List<UsableServer>): List<UsableServer> {
        if (subset == null || usable.size <= subset.size) return usable
        return usable.groupBy { it.heldLayers }.flatMap { (heldLayers, servers) ->
            val range = "${heldLayers.from}-${heldLayers.until}"
            subset.of("${key.kind}/${key.name}/${key.side}/$range", servers) {
                it.instance.id
            }
        }
    }

    private fun group(key: GroupKey, usable: List<UsableServer>): ServerGroup {
        val speeds = ServerSpeeds { usable.mapNotNull { it.report } }
        val servers = usable.mapIndexed { index, server ->
            val instance = server.instance
            val report = server.report
            val choices = recentChoices(instance.id)
            if (report != null) choices.onReport(report.sequence)
            PlanningServer(
                index = index,
                id = instance.id,
                address = instance.address,
                dataCentre = links.position(instance.dataCentre.value),
                heldLayers = server.heldLayers,
                microsPerLayer = speeds.microsPerLayer(instance, report),
                queueMicros = (report?.queueMicros ?: 0).toDouble(),
                slots = (report?.slots ?: 1).coerceAtLeast(1),
                recentChoices = choices
            )
        }
        val layers = when (key.kind) {
            PoolKind.ENGINE -> document.models.getValue(key.name).layers
            PoolKind.SERVICE -> ONE_LAYER.until
        }
        return ServerGroup(servers, layers, links)
    }

    private companion object {
        val ONE_LAYER = LayerRange(0, 1)
    }
}
