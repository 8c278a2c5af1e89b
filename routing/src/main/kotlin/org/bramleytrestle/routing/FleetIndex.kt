package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.PoolKind

/**
 * The usable servers of a snapshot in groups. What an engine reports of itself is newer than the
 * instance list and takes precedence.
 */
internal class FleetIndex(
    val snapshot: RoutingSnapshot,
    private val subset: ServerSubset? = null,
    private val recent: (InstanceId) -> RecentChoices = { RecentChoices() }
) {
    private val document = snapshot.settings.document
    val links = LinkTable(
        names = snapshot.servers.values.mapTo(linkedSetOf(snapshot.dataCentre)) {
            it.dataCentre.value
        },
        linkMicros = snapshot.linkMicros
    )

    /** Data centre of this node. */
    val start: Int = links.position(snapshot.dataCentre)
    val groups: Map<GroupKey, ServerGroup> = usableByKey()
        .mapValues { (key, usable) -> group(key, used(key, usable)) }

    private class Usable(val instance: Instance, val report: LoadReport?, val held: LayerRange)

    private class Pool(val key: GroupKey, val usable: MutableList<Usable>)

    /** Resolves each pool once: thousands of servers share a few pools. */
    private fun usableByKey(): Map<GroupKey, List<Usable>> {
        val byKey = LinkedHashMap<GroupKey, MutableList<Usable>>()
        val pools = HashMap<String, Pool>()
        for ((name, settings) in document.pools) {
            val key = GroupKey.of(settings) ?: continue
            pools[name] = Pool(key, byKey.getOrPut(key) { ArrayList() })
        }
        for (instance in snapshot.servers.values) {
            val pool = pools[instance.pool] ?: continue
            val report = snapshot.reports[instance.id]
            if (instance.leaving || report?.leaving == true) continue
            val held = heldLayers(instance, report, pool.key) ?: continue
            pool.usable += Usable(instance, report, held)
        }
        return byKey.filterValues { it.isNotEmpty() }
    }

    /** The layers of the pool's model at its current version, or null if it runs another one. */
    private fun heldLayers(instance: Instance, report: LoadReport?, key: GroupKey): LayerRange? {
        if (key.kind == PoolKind.SERVICE) return ONE_LAYER
        val settings = document.models[key.name] ?: return null
        val held = report?.layers ?: instance.layers ?: return null
        val matches = (report?.model ?: instance.model)?.value == key.name &&
            (report?.version ?: instance.version) == settings.version &&
            held.until <= settings.layers
        return held.takeIf { matches }
    }

    private fun used(key: GroupKey, usable: List<Usable>): List<Usable> {
        if (subset == null || usable.size <= subset.size) return usable
        return usable.groupBy { it.held }.flatMap { (held, servers) ->
            subset.of("${key.kind}/${key.name}/${key.side}/${held.from}-${held.until}", servers) {
                it.instance.id
            }
        }
    }

    private fun group(key: GroupKey, usable: List<Usable>): ServerGroup {
        val speeds = Speeds { usable.mapNotNull { it.report } }
        val servers = usable.mapIndexed { index, server ->
            val instance = server.instance
            val report = server.report
            val choices = recent(instance.id)
            if (report != null) choices.reported(report.sequence)
            PlanningServer(
                index = index,
                id = instance.id,
                address = instance.address,
                dataCentre = links.position(instance.dataCentre.value),
                held = server.held,
                microsPerLayer = speeds.microsPerLayer(instance, report),
                queueMicros = (report?.queueMicros ?: 0).toDouble(),
                slots = (report?.slots ?: 1).coerceAtLeast(1),
                recent = choices
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
