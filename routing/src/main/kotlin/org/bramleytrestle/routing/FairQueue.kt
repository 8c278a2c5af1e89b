package org.bramleytrestle.routing

import java.util.TreeSet
import org.bramleytrestle.model.OrganisationId

/**
 * Queue of the work for one model or service on one side. It uses start-time fair queueing by
 * tokens between organisations and earliest deadline first within an organisation. Operations on
 * entries take logarithmic time in the number of entries and organisations. Not thread-safe; the
 * caller must hold the lock of the target.
 */
internal class FairQueue {
    private val flows = HashMap<OrganisationId, Flow>()
    private val classQueues = WorkClass.entries.associateWith { ClassQueue() }
    private val laterAttempts = TreeSet<QueuedWork>()
    private var virtualTime = 0.0

    var size = 0
        private set

    /** The flows that have entries of one class and are not throttled. */
    private class ClassQueue {
        val ready = TreeSet<Flow>(compareBy({ it.startTag }, { it.organisation.value }))
        var weights = 0.0
        var tokens = 0L
    }

    /** The queued work of one organisation and its start tag in virtual time. */
    private class Flow(val organisation: OrganisationId) {
        var weight = 1.0
        var startTag = 0.0
        var throttled = false
        val queued = WorkClass.entries.associateWith { TreeSet<QueuedWork>() }
        val tokens = LongArray(WorkClass.entries.size)
        val size get() = queued.values.sumOf { it.size }
    }

    fun add(entry: QueuedWork) {
        size++
        if (entry.isLaterAttempt) {
            laterAttempts.add(entry)
            return
        }
        val flow = flow(entry)
        update(flow) {
            if (size == 0) startTag = maxOf(startTag, virtualTime)
            weight = entry.settings.weight
            queued.getValue(entry.workClass).add(entry)
            tokens[entry.workClass.ordinal] += entry.tokens.toLong()
        }
    }

    /** Removes [entry]; returns false if it is not queued. */
    fun remove(entry: QueuedWork): Boolean {
        if (entry.isLaterAttempt) return laterAttempts.remove(entry).also { if (it) size-- }
        val flow = flows[entry.work.organisation] ?: return false
        if (entry !in flow.queued.getValue(entry.workClass)) return false
        size--
        update(flow) {
            queued.getValue(entry.workClass).remove(entry)
            tokens[entry.workClass.ordinal] -= entry.tokens.toLong()
        }
        removeIfIdle(flow)
        return true
    }

    /** Charges the estimated tokens of [entry], which is being started, to its organisation. */
    fun charge(entry: QueuedWork) {
        val flow = flow(entry)
        if (!entry.isLaterAttempt) virtualTime = maxOf(virtualTime, flow.startTag)
        update(flow) {
            startTag = maxOf(startTag, virtualTime) + entry.tokens / entry.settings.weight
        }
    }

    /** Replaces the estimated tokens charged for [entry] by the [actual] tokens. */
    fun adjustCharge(entry: QueuedWork, actual: Int) {
        val flow = flows[entry.work.organisation] ?: return
        update(flow) {
            val tag = startTag + (actual - entry.tokens) / entry.settings.weight
            startTag = maxOf(tag, virtualTime)
        }
        removeIfIdle(flow)
    }

    fun peek(workClass: WorkClass): QueuedWork? =
        classQueues.getValue(workClass).ready.firstOrNull()?.queued?.getValue(workClass)?.first()

    /** The first [count] later attempts; one that no server can take must not block the next. */
    fun peekLaterAttempts(count: Int): List<QueuedWork> = laterAttempts.take(count)

    /** Skips the work of [organisation] until [unthrottle] is called. */
    fun throttle(organisation: OrganisationId) {
        flows[organisation]?.let { update(it) { throttled = true } }
    }

    fun unthrottle(organisation: OrganisationId) {
        flows[organisation]?.takeIf { it.throttled }?.let { update(it) { throttled = false } }
    }

    fun throttledOrganisations(): List<OrganisationId> =
        flows.values.filter { it.throttled }.map { it.organisation }

    fun sizeOf(organisation: OrganisationId): Int = flows[organisation]?.size ?: 0

    /** Estimate of the tokens that are served before [entry] if it is added now. */
    fun tokensAhead(entry: QueuedWork): Double {
        val classQueue = classQueues.getValue(entry.workClass)
        val flow = flows[entry.work.organisation]
        val own = (flow?.tokens?.get(entry.workClass.ordinal) ?: 0L).toDouble()
        val isReady = flow != null && flow in classQueue.ready
        val weights = classQueue.weights + if (isReady) 0.0 else entry.settings.weight
        return minOf(classQueue.tokens.toDouble(), own * weights / entry.settings.weight)
    }

    private fun flow(entry: QueuedWork) = flows.getOrPut(entry.work.organisation) {
        Flow(entry.work.organisation).also { it.startTag = virtualTime }
    }

    /** Applies [block] with [flow] removed from the sorted sets, whose order depends on it. */
    private inline fun update(flow: Flow, block: Flow.() -> Unit) {
        for ((workClass, classQueue) in classQueues) {
            if (!classQueue.ready.remove(flow)) continue
            classQueue.weights -= flow.weight
            classQueue.tokens -= flow.tokens[workClass.ordinal]
        }
        flow.block()
        if (flow.throttled) return
        for ((workClass, classQueue) in classQueues) {
            if (flow.queued.getValue(workClass).isEmpty()) continue
            classQueue.ready.add(flow)
            classQueue.weights += flow.weight
            classQueue.tokens += flow.tokens[workClass.ordinal]
        }
    }

    /** Removes an idle flow once a new one would get the same start tag. */
    private fun removeIfIdle(flow: Flow) {
        if (flow.size == 0 && flow.startTag <= virtualTime) flows.remove(flow.organisation)
    }
}
