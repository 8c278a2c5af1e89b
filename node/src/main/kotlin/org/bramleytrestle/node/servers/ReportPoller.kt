package org.bramleytrestle.node.servers

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bramleytrestle.backend.EngineControl
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.routing.PrefixCacheIndex
import org.bramleytrestle.routing.PrefixEvent

/**
 * Polls the load of the backend servers that this node is responsible for and shares it with the
 * other nodes in batches.
 *
 * @property assigned whether this node polls a server.
 */
internal class ReportPoller(
    private val control: EngineControl,
    private val registry: ServerRegistry,
    private val prefixes: PrefixCacheIndex,
    private val assigned: (Instance) -> Boolean,
    private val share: (List<LoadReport>) -> Unit,
    private val interval: Duration = 500.milliseconds
) {
    private val jobs = HashMap<InstanceId, Job>()
    private val fresh = ConcurrentLinkedQueue<LoadReport>()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            prefixes.retain(registry.backendServers().mapTo(HashSet()) { it.id })
            val wanted = registry.backendServers().filter(assigned).associateBy { it.id }
            jobs.entries.removeIf { (id, job) -> (id !in wanted).also { if (it) job.cancel() } }
            for ((id, instance) in wanted) jobs.getOrPut(id) { scope.launch { poll(instance) } }
            val batch = generateSequence { fresh.poll() }.toList()
            if (batch.isNotEmpty()) share(batch)
            delay(interval)
        }
    }

    private suspend fun poll(instance: Instance) {
        var failures = 0
        var cacheSequence = 0L
        while (true) {
            if (instance.role == InstanceRole.ENGINE) {
                cacheSequence = readCacheEvents(instance, cacheSequence)
            }
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
            delay(interval)
        }
    }

    private suspend fun readCacheEvents(instance: Instance, after: Long): Long {
        val events = control.cacheEvents(instance.address, after).getOrElse { return after }
        prefixes.apply(
            instance.id,
            events.map { PrefixEvent(it.sequence, it.prefixHash, it.stored) }
        )
        return events.lastOrNull()?.sequence ?: after
    }

    private companion object {
        // One lost poll is common on a slow link; two in a row are 2 heartbeat intervals.
        const val FAILURES_UNTIL_REST = 2
    }
}
