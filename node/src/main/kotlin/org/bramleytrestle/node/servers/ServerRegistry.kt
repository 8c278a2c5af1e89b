package org.bramleytrestle.node.servers

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LoadReport

private val log = KotlinLogging.logger {}

/**
 * Joins the platform's lagging list with load reports, failures seen here and signs of leaving,
 * whichever comes first, into the set of servers that may get work.
 */
internal class ServerRegistry(private val clock: TimeSource.WithComparableMarks) {
    @Volatile
    private var listed: Map<InstanceId, Instance> = emptyMap()
    private val signs = ConcurrentHashMap<InstanceId, ServerSigns>()

    /**
     * Takes over the platform's list. Signs outlive the list entry for a while, since a stale list
     * can drop a leaving server and bring it back.
     */
    fun list(instances: Collection<Instance>) {
        listed = instances.filter { it.role != InstanceRole.ENTRY }.associateBy { it.id }
        signs.entries.removeIf { (id, sign) -> id !in listed && forgettable(sign) }
        listed.values.filter { it.leaving }.forEach { leaving(it.id) }
    }

    fun backendServers(): Collection<Instance> = listed.values

    /** Keeps [report] unless a newer one of the same server is known. */
    fun report(report: LoadReport) {
        if (report.instance !in listed) return
        signs.compute(report.instance) { _, known ->
            val old = known ?: ServerSigns()
            if (old.report != null && old.report.sequence >= report.sequence &&
                old.report.takenAtMillis >= report.takenAtMillis
            ) {
                old
            } else {
                old.copy(
                    report = report,
                    reportedAt = clock.markNow(),
                    leavingSince = leavingSince(old, report)
                )
            }
        }
    }

    private fun leavingSince(old: ServerSigns, report: LoadReport): ComparableTimeMark? = when {
        report.leaving -> old.leavingSince ?: clock.markNow()
        // Reports lag, so one that says "not leaving" may be older than the sign.
        old.leavingSince != null && old.leavingSince.elapsedNow() < LEAVING_HOLD ->
            old.leavingSince
        else -> null
    }

    private fun forgettable(sign: ServerSigns): Boolean =
        listOfNotNull(sign.reportedAt, sign.failedAt, sign.leavingSince)
            .all { it.elapsedNow() > FORGET_AFTER }

    /** A request failed on [instance]. */
    fun failed(instance: InstanceId, failure: HopFailure) {
        val now = clock.markNow()
        when (failure) {
            HopFailure.FULL, HopFailure.KV_MISMATCH -> Unit
            HopFailure.LEAVING -> leaving(instance)
            else -> {
                log.info { "node: server $instance rests after $failure" }
                update(instance) { it.copy(failedAt = now) }
            }
        }
    }

    /** [instance] says, or an operator says, that it is leaving. */
    fun leaving(instance: InstanceId) {
        if (signs[instance]?.leavingSince != null) return
        log.info { "node: server $instance is leaving" }
        update(instance) { it.copy(leavingSince = it.leavingSince ?: clock.markNow()) }
    }

    /** Servers that may get new work. */
    fun usable(): Map<InstanceId, Instance> = listed.filterValues(::usable)

    /** Whether [id] may get new work; asked for each hop of each request. */
    fun isUsable(id: InstanceId): Boolean = listed[id]?.let(::usable) ?: false

    fun reports(): Map<InstanceId, LoadReport> = buildMap {
        for ((id, sign) in signs) sign.report?.let { put(id, it) }
    }

    private fun usable(instance: Instance): Boolean {
        if (instance.leaving) return false
        val signs = signs[instance.id] ?: return true
        if (signs.leavingSince != null) return false
        val failedAt = signs.failedAt ?: return true
        // A report after the failure shows that the server answers again.
        val answered = signs.reportedAt != null && signs.reportedAt > failedAt + MIN_REST
        return answered || failedAt.elapsedNow() > MAX_REST
    }

    private fun update(instance: InstanceId, change: (ServerSigns) -> ServerSigns) {
        if (instance !in listed) return
        signs.compute(instance) { _, known -> change(known ?: ServerSigns()) }
    }

    private companion object {
        // One heartbeat interval: a report that was under way at the failure proves nothing.
        val MIN_REST = 0.5.seconds
        val MAX_REST = 10.seconds
        val LEAVING_HOLD = 10.seconds
        val FORGET_AFTER = 10.minutes
    }
}
