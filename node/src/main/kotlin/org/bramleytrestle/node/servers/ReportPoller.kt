package org.bramleytrestle.node.servers

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bramleytrestle.backend.EngineControl
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.guarded

/**
 * Polls the load of the backend servers assigned to this node and shares the reports with the
 * other nodes in batches.
 *
 * @property ranks returns the servers assigned to this node, each with the rank of this node among
 * the nodes that poll it. Rank 0 polls at [interval], rank 1 is the standby and polls at a quarter
 * of that rate.
 */
internal class ReportPoller(
    private val control: EngineControl,
    private val registry: ServerRegistry,
    private val ranks: (Collection<Instance>) -> Map<InstanceId, Int>,
    private val share: (List<LoadReport>) -> Unit,
    private val interval: Duration = 1.seconds
) {
    private val jobs = HashMap<InstanceId, Job>()

    @Volatile
    private var currentRanks: Map<InstanceId, Int> = emptyMap()
    private val unsharedReports = ConcurrentLinkedQueue<LoadReport>()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val servers = registry.backendServers()
            currentRanks = ranks(servers)
            val assigned = servers.filter { it.id in currentRanks }.associateBy { it.id }
            jobs.entries.removeIf { (id, job) -> (id !in assigned).also { if (it) job.cancel() } }
            for ((id, instance) in assigned) jobs.getOrPut(id) { scope.launch { poll(instance) } }
            val batch = generateSequence { unsharedReports.poll() }.toList()
            if (batch.isNotEmpty()) share(batch)
            delay(SHARE_INTERVAL)
        }
    }

    private suspend fun poll(instance: Instance) {
        var failures = 0
        while (true) {
            guarded("report of ${instance.id.value}") {
                control.report(instance.address)
                    .onSuccess {
                        failures = 0
                        registry.recordReport(it)
                        unsharedReports += it
                    }
                    .onFailure { failure ->
                        failures++
                        if (failures >= FAILURE_THRESHOLD) {
                            registry.recordFailure(instance.id, failure)
                        }
                    }
            }
            delay(if (currentRanks[instance.id] == 0) interval else interval * STANDBY_FACTOR)
        }
    }

    private companion object {
        val SHARE_INTERVAL = 500.milliseconds

        // With 1,100 nodes and 6,300 servers, two nodes polling each server at the full rate would
        // cost each node 14 KB/s.
        const val STANDBY_FACTOR = 4

        // A single lost poll is common on a slow link and does not mark the server as failed.
        const val FAILURE_THRESHOLD = 2
    }
}
