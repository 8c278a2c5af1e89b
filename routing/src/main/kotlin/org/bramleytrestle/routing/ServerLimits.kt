package org.bramleytrestle.routing

import java.util.concurrent.ConcurrentHashMap
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.StageHop

/** The concurrency limiters of all servers. */
internal class ServerLimits(private val planner: ChainPlanner) {
    private val limiters = ConcurrentHashMap<InstanceId, ConcurrencyLimiter>()

    fun of(instance: InstanceId): ConcurrencyLimiter = limiters.computeIfAbsent(instance) {
        ConcurrencyLimiter(room(planner.snapshot, it) ?: UNREPORTED_SLOTS)
    }

    /**
     * Attempts that keep a server busy. An attempt is on one hop of its chain at a time, so a
     * server that holds one of n equal layer ranges needs n attempts for each of its slots.
     */
    private fun room(snapshot: RoutingSnapshot, instance: InstanceId): Int? {
        val report = snapshot.reports[instance] ?: return null
        val held = report.layers ?: return report.slots
        val layers = snapshot.settings.document.models[report.model?.value]?.layers ?: held.size
        return report.slots * ((layers + held.size - 1) / held.size)
    }

    /**
     * Takes one slot on every hop, or none and returns null. The attempt keeps the limiters that
     * it holds slots of, because the map forgets servers that are gone.
     */
    fun tryAcquire(
        hops: List<StageHop>,
        workClass: WorkClass,
        reserve: Double
    ): List<ConcurrencyLimiter>? {
        val taken = ArrayList<ConcurrencyLimiter>(hops.size)
        for (hop in hops) {
            val limiter = of(hop.instance)
            if (!limiter.tryAcquire(workClass, reserve)) {
                taken.forEach { it.release(workClass) }
                return null
            }
            taken += limiter
        }
        return taken
    }

    /** Takes over new load reports and forgets idle servers that are gone. */
    fun onSnapshot() {
        val snapshot = planner.snapshot
        for ((instance, limiter) in limiters) {
            room(snapshot, instance)?.let(limiter::onSlots)
            val gone = instance !in snapshot.servers
            if (gone && limiter.inFlight == 0) limiters.remove(instance, limiter)
        }
    }

    private companion object {
        /** Until the first report a server gets little concurrent work. */
        const val UNREPORTED_SLOTS = 4
    }
}
