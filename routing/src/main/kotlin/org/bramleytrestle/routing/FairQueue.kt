package org.bramleytrestle.routing

import java.util.TreeSet
import org.bramleytrestle.model.OrganisationId

/**
 * Queue of the work for one model or service on one side: start-time fair queueing in tokens
 * between organisations and earliest deadline first inside each. Every operation costs time in
 * the logarithm of the queued entries and organisations; none looks at the whole queue. The
 * caller holds the lock.
 */
internal class FairQueue {
    private val flows = HashMap<OrganisationId, Flow>()
    private val lanes = WorkClass.entries.associateWith { Lane() }
    private val first = TreeSet<QueuedWork>()
    private var virtualTime = 0.0

    var size = 0
        private set

    private class Lane {
        val ready = TreeSet<Flow>(compareBy({ it.startTag }, { it.organisation.value }))
        var weights = 0.0
        var tokens = 0L
    }

    /** The work of one organisation and its position in virtual time. */
    private class Flow(val organisation: OrganisationId) {
        var weight = 1.0
        var startTag = 0.0
        var parked = false
        val queued = WorkClass.entries.associateWith { TreeSet<QueuedWork>() }
        val tokens = LongArray(WorkClass.entries.size)
        val size get() = queued.values.sumOf { it.size }
    }

    fun add(entry: QueuedWork) {
        size++
        if (entry.ahead) {
            first.add(entry)
            return
        }
        val flow = flow(entry)
        change(flow) {
            if (size == 0) startTag = maxOf(startTag, virtualTime)
            weight = entry.settings.weight
            queued.getValue(entry.workClass).add(entry)
            tokens[entry.workClass.ordinal] += entry.tokens.toLong()
        }
    }

    /** Removes [entry] unless it has left already. */
    fun remove(entry: QueuedWork): Boolean {
        if (entry.ahead) return first.remove(entry).also { if (it) size-- }
        val flow = flows[entry.work.organisation] ?: return false
        if (entry !in flow.queued.getValue(entry.workClass)) return false
        size--
        change(flow) {
            queued.getValue(entry.workClass).remove(entry)
            tokens[entry.workClass.ordinal] -= entry.tokens.toLong()
        }
        forget(flow)
        return true
    }

    /** Charges [entry], which starts now, to its organisation. */
    fun charge(entry: QueuedWork) {
        val flow = flow(entry)
        if (!entry.ahead) virtualTime = maxOf(virtualTime, flow.startTag)
        change(flow) {
            startTag = maxOf(startTag, virtualTime) + entry.tokens / entry.settings.weight
        }
    }

    /** Replaces the estimate charged for [entry] by the tokens that it really took. */
    fun correct(entry: QueuedWork, actual: Int) {
        val flow = flows[entry.work.organisation] ?: return
        change(flow) {
            val tag = startTag + (actual - entry.tokens) / entry.settings.weight
            startTag = maxOf(tag, virtualTime)
        }
        forget(flow)
    }

    fun next(workClass: WorkClass): QueuedWork? =
        lanes.getValue(workClass).ready.firstOrNull()?.queued?.getValue(workClass)?.first()

    /** The first [count] later attempts; one without a server must not block the next. */
    fun laterAttempts(count: Int): List<QueuedWork> = first.take(count)

    /** Sets the work of [organisation] aside until its limit has room. */
    fun park(organisation: OrganisationId) {
        flows[organisation]?.let { change(it) { parked = true } }
    }

    fun unpark(organisation: OrganisationId) {
        flows[organisation]?.takeIf { it.parked }?.let { change(it) { parked = false } }
    }

    fun parked(): List<OrganisationId> = flows.values.filter { it.parked }.map { it.organisation }

    fun sizeOf(organisation: OrganisationId): Int = flows[organisation]?.size ?: 0

    /** Tokens that are served before a new entry of the same class and organisation. */
    fun tokensAhead(entry: QueuedWork): Double {
        val lane = lanes.getValue(entry.workClass)
        val flow = flows[entry.work.organisation]
        val own = (flow?.tokens?.get(entry.workClass.ordinal) ?: 0L).toDouble()
        val joined = flow != null && flow in lane.ready
        val weights = lane.weights + if (joined) 0.0 else entry.settings.weight
        return minOf(lane.tokens.toDouble(), own * weights / entry.settings.weight)
    }

    private fun flow(entry: QueuedWork) = flows.getOrPut(entry.work.organisation) {
        Flow(entry.work.organisation).also { it.startTag = virtualTime }
    }

    /** Changes [flow] outside the sorted sets, whose order depends on it. */
    private inline fun change(flow: Flow, update: Flow.() -> Unit) {
        for ((workClass, lane) in lanes) {
            if (!lane.ready.remove(flow)) continue
            lane.weights -= flow.weight
            lane.tokens -= flow.tokens[workClass.ordinal]
        }
        flow.update()
        if (flow.parked) return
        for ((workClass, lane) in lanes) {
            if (flow.queued.getValue(workClass).isEmpty()) continue
            lane.ready.add(flow)
            lane.weights += flow.weight
            lane.tokens += flow.tokens[workClass.ordinal]
        }
    }

    /** Drops an idle flow whose position in virtual time no longer differs from a new one. */
    private fun forget(flow: Flow) {
        if (flow.size == 0 && flow.startTag <= virtualTime) flows.remove(flow.organisation)
    }
}
