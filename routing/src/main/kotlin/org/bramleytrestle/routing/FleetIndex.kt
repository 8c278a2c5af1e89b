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
    private val snapshot: RoutingSnapshot,
    private val recent: (InstanceId) -> RecentChoices
) {
    private val document = snapshot.settings.document
    val links = LinkTable(
        names = snapshot.servers.values.mapTo(sortedSetOf(snapshot.dataCentre)) {
            it.dataCentre.value
        },
        linkMicros = snapshot.linkMicros
    )

    /** Data centre of this node. */
    val start: Int = links.position(snapshot.dataCentre)
    val groups: Map<GroupKey, ServerGroup> = snapshot.servers.values
        .mapNotNull { usable(it) }
        .groupBy({ it.key })
        .mapValues { (key, usable) -> group(key, usable.sortedBy { it.instance.id.value }) }

    private class Usable(
        val key: GroupKey,
        val instance: Instance,
        val report: LoadReport?,
        val held: LayerRange
    )

    private fun usable(instance: Instance): Usable? {
        val report = snapshot.reports[instance.id]
        val pool = document.pools[instance.pool]
        return when {
            pool == null || instance.leaving || report?.leaving == true -> null

            pool.kind == PoolKind.SERVICE -> pool.service?.let {
                Usable(GroupKey(GroupKey.Kind.SERVICE, it, pool.side), instance, report, ONE_LAYER)
            }

            else -> pool.model?.let { model ->
                heldLayers(instance, report, model)?.let {
                    Usable(GroupKey(GroupKey.Kind.MODEL, model, pool.side), instance, report, it)
                }
            }
        }
    }

    /** The layers of [model] at its current version, or null if it runs something else. */
    private fun heldLayers(instance: Instance, report: LoadReport?, model: String): LayerRange? {
        val settings = document.models[model] ?: return null
        val held = report?.layers ?: instance.layers ?: return null
        val matches = (report?.model ?: instance.model)?.value == model &&
            (report?.version ?: instance.version) == settings.version &&
            held.until <= settings.layers
        return held.takeIf { matches }
    }

    private fun group(key: GroupKey, usable: List<Usable>): ServerGroup {
        val speeds = Speeds(usable.mapNotNull { it.report })
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
            GroupKey.Kind.MODEL -> document.models.getValue(key.name).layers
            GroupKey.Kind.SERVICE -> ONE_LAYER.until
        }
        return ServerGroup(servers, layers, links, start)
    }

    private companion object {
        val ONE_LAYER = LayerRange(0, 1)
    }
}
