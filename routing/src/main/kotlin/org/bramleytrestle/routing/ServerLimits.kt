package org.bramleytrestle.routing

import java.util.concurrent.ConcurrentHashMap
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.StageHop

/** The concurrency limiters of all servers. */
internal class ServerLimits(private val planner: ChainPlanner) {
    private val limiters = ConcurrentHashMap<InstanceId, ConcurrencyLimiter>()

    fun of(instance: InstanceId): ConcurrencyLimiter = limiters.computeIfAbsent(instance) {
        ConcurrencyLimiter(concurrency(planner.snapshot, it) ?: UNREPORTED_CONCURRENCY)
    }

    /**
     * Number of concurrent attempts that keeps a server busy; null without a report. An attempt is
     * at one hop of its chain at a time, so a server that holds one of n equal layer ranges needs n
     * attempts per slot.
     */
    private fun concurrency(snapshot: RoutingSnapshot, instance: InstanceId): Int? {
        val report = snapshot.reports[instance] ?: return null
        val held = report.layers ?: return report.slots
        val layers = snapshot.settings.document.models[report.model?.value]?.layers ?: held.size
        return report.slots * ((layers + held.size - 1) / held.size)
    }

    /**
     * Acquires one slot on every hop and returns their limiters, or acquires none and returns null.
     * The caller has to release the slots on these limiters, because [onSnapshot] may remove them
     * from the map.
     */
    fun tryAcquire(
        hops: List<StageHop>,
        workClass: WorkClass,
        reserve: Double
    ): List<ConcurrencyLimiter>? {
        val acquired = ArrayList<ConcurrencyLimiter>(hops.size)
        for (hop in hops) {
            val limiter = of(hop.instance)
            if (!limiter.tryAcquire(workClass, reserve)) {
                acquired.forEach { it.release(workClass) }
                return null
            }
            acquired += limiter
        }
        return acquired
    }

    /** Applies new load reports and removes the idle limiters of servers that no longer exist. */
    fun onSnapshot() {
        val snapshot = planner.snapshot
        for ((instance, limiter) in limiters) {
            concurrency(snapshot, instance)?.let(limiter::updateMaxLimit)
            val removed = instance !in snapshot.servers
            if (removed && limiter.inFlight == 0) limiters.remove(instance, limiter)
        }
    }

    private companion object {
        /** Low concurrency for servers that have not reported yet. */
        const val UNREPORTED_CONCURRENCY = 4
    }
}
