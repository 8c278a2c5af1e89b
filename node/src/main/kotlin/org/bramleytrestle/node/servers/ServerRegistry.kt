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
 * Determines which backend servers may get new work. Combines the platform's instance list, which
 * lags behind, with load reports, failures seen by this node and leave notifications; whichever
 * arrives first takes effect.
 */
internal class ServerRegistry(private val clock: TimeSource.WithComparableMarks) {
    @Volatile
    private var listedServers: Map<InstanceId, Instance> = emptyMap()
    private val observations = ConcurrentHashMap<InstanceId, ServerObservations>()

    /**
     * Replaces the list of instances by that of the platform. Observations are retained for a
     * while after a server has left the list, since a stale list can omit a leaving server and
     * a later one contain it again.
     */
    fun replaceList(instances: Collection<Instance>) {
        listedServers = instances.filter { it.role != InstanceRole.ENTRY }.associateBy { it.id }
        observations.entries.removeIf { (id, observation) ->
            id !in listedServers && isExpired(observation)
        }
        listedServers.values.filter { it.leaving }.forEach { markLeaving(it.id) }
    }

    fun backendServers(): Collection<Instance> = listedServers.values

    /** Stores [report] unless a newer one of the same server is known. */
    fun recordReport(report: LoadReport) {
        if (report.instance !in listedServers) return
        observations.compute(report.instance) { _, known ->
            val previous = known ?: ServerObservations()
            if (previous.report != null && previous.report.sequence >= report.sequence &&
                previous.report.takenAtMillis >= report.takenAtMillis
            ) {
                previous
            } else {
                previous.copy(
                    report = report,
                    reportedAt = clock.markNow(),
                    leavingSince = leavingSince(previous, report)
                )
            }
        }
    }

    private fun leavingSince(
        previous: ServerObservations,
        report: LoadReport
    ): ComparableTimeMark? = when {
        report.leaving -> previous.leavingSince ?: clock.markNow()
        // Reports lag, so one that says "not leaving" may predate the leave notification.
        previous.leavingSince != null && previous.leavingSince.elapsedNow() < MIN_LEAVING_TIME ->
            previous.leavingSince
        else -> null
    }

    private fun isExpired(observation: ServerObservations): Boolean =
        listOfNotNull(observation.reportedAt, observation.failedAt, observation.leavingSince)
            .all { it.elapsedNow() > OBSERVATION_RETENTION }

    /** Records that a request or a poll failed on [instance]. */
    fun recordFailure(instance: InstanceId, failure: HopFailure) {
        val now = clock.markNow()
        when (failure) {
            HopFailure.FULL, HopFailure.KV_MISMATCH -> Unit
            HopFailure.LEAVING -> markLeaving(instance)
            else -> {
                log.info { "node: server $instance rests after $failure" }
                update(instance) { it.copy(failedAt = now) }
            }
        }
    }

    /** Marks [instance] as leaving, as announced by itself or requested by an operator. */
    fun markLeaving(instance: InstanceId) {
        if (observations[instance]?.leavingSince != null) return
        log.info { "node: server $instance is leaving" }
        update(instance) { it.copy(leavingSince = it.leavingSince ?: clock.markNow()) }
    }

    /** Servers that may get new work. */
    fun usableServers(): Map<InstanceId, Instance> = listedServers.filterValues(::isUsable)

    /** Whether [id] may get new work. Called for each hop of each request. */
    fun isUsable(id: InstanceId): Boolean = listedServers[id]?.let(::isUsable) ?: false

    fun reports(): Map<InstanceId, LoadReport> = buildMap {
        for ((id, observation) in observations) observation.report?.let { put(id, it) }
    }

    private fun isUsable(instance: Instance): Boolean {
        if (instance.leaving) return false
        val observation = observations[instance.id] ?: return true
        if (observation.leavingSince != null) return false
        val failedAt = observation.failedAt ?: return true
        // A report after the failure shows that the server responds again.
        val responding =
            observation.reportedAt != null && observation.reportedAt > failedAt + MIN_BACKOFF
        return responding || failedAt.elapsedNow() > MAX_BACKOFF
    }

    private fun update(
        instance: InstanceId,
        transform: (ServerObservations) -> ServerObservations
    ) {
        if (instance !in listedServers) return
        observations.compute(instance) { _, known -> transform(known ?: ServerObservations()) }
    }

    private companion object {
        // One heartbeat interval. A report that was in transit at the time of the failure does not
        // show that the server has recovered.
        val MIN_BACKOFF = 0.5.seconds
        val MAX_BACKOFF = 10.seconds
        val MIN_LEAVING_TIME = 10.seconds
        val OBSERVATION_RETENTION = 10.minutes
    }
}
