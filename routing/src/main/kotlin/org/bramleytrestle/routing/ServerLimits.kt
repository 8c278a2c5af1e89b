package org.bramleytrestle.routing

import java.util.concurrent.ConcurrentHashMap
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.StageHop

/** The concurrency limiters of all servers. */
internal class ServerLimits(private val planner: ChainPlanner) {
    private val limiters = ConcurrentHashMap<InstanceId, ConcurrencyLimiter>()

    fun of(instance: InstanceId): ConcurrencyLimiter = limiters.computeIfAbsent(instance) {
        ConcurrencyLimiter(planner.snapshot.reports[it]?.slots ?: UNREPORTED_SLOTS)
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
            snapshot.reports[instance]?.let { limiter.onSlots(it.slots) }
            val gone = instance !in snapshot.servers
            if (gone && limiter.inFlight == 0) limiters.remove(instance, limiter)
        }
    }

    private companion object {
        /** Until the first report a server gets little concurrent work. */
        const val UNREPORTED_SLOTS = 4
    }
}
