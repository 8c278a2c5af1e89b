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

/**
 * Polls the load of the backend servers that this node is responsible for and shares it with the
 * other nodes in batches.
 *
 * @property ranks this node's place among the nodes that poll a server, for those that it polls:
 * 0 polls at [interval], 1 stands by at a quarter of that rate.
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
    private var ranked: Map<InstanceId, Int> = emptyMap()
    private val fresh = ConcurrentLinkedQueue<LoadReport>()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val servers = registry.backendServers()
            ranked = ranks(servers)
            val wanted = servers.filter { it.id in ranked }.associateBy { it.id }
            jobs.entries.removeIf { (id, job) -> (id !in wanted).also { if (it) job.cancel() } }
            for ((id, instance) in wanted) jobs.getOrPut(id) { scope.launch { poll(instance) } }
            val batch = generateSequence { fresh.poll() }.toList()
            if (batch.isNotEmpty()) share(batch)
            delay(SHARE_INTERVAL)
        }
    }

    private suspend fun poll(instance: Instance) {
        var failures = 0
        while (true) {
            control.report(instance.address)
                .onSuccess {
                    failures = 0
                    registry.report(it)
                    fresh += it
                }
                .onFailure { failure ->
                    failures++
                    if (failures >= FAILURES_UNTIL_REST) registry.failed(instance.id, failure)
                }
            delay(if (ranked[instance.id] == 0) interval else interval * STANDBY_FACTOR)
        }
    }

    private companion object {
        val SHARE_INTERVAL = 500.milliseconds

        // Full polling by two nodes would take 14 KB/s of a node at 1,100 nodes, 6,300 servers.
        const val STANDBY_FACTOR = 4

        // One lost poll is common on a slow link.
        const val FAILURES_UNTIL_REST = 2
    }
}
