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

    /** Takes one slot on every hop, or none. */
    fun tryAcquire(hops: List<StageHop>, workClass: WorkClass, reserve: Double): Boolean {
        hops.forEachIndexed { index, hop ->
            if (!of(hop.instance).tryAcquire(workClass, reserve)) {
                hops.take(index).forEach { of(it.instance).release(workClass) }
                return false
            }
        }
        return true
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
