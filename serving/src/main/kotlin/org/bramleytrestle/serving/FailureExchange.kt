package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.InstanceId

/**
 * Collects the failures of backend servers that the nodes of a data centre observe, so that a node
 * need not lose a request of its own on each server of a rack that has failed.
 *
 * A failure counts for all nodes once two of them have observed it: one node alone may be slow or
 * cut off itself. What the nodes of one data centre agree on counts for the others too.
 *
 * @param ownFailures failures that this node has observed recently.
 * @param avoid called with servers that two nodes found to have failed.
 */
public class FailureExchange(
    private val own: InstanceId,
    private val ownFailures: () -> List<FailedServer>,
    private val avoid: (List<FailedServer>) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private val reports = HashMap<Incarnation, HashMap<InstanceId, Moment>>()
    private var announced = emptySet<Incarnation>()

    /** Failures that nodes of other data centres agree on, by the time of their second report. */
    private val adopted = HashMap<Incarnation, Moment>()

    internal fun observed(): List<FailedServer> = ownFailures()

    /** Records what [from] has observed and avoids the servers that two nodes agree on. */
    @Synchronized
    internal fun record(from: InstanceId, failed: List<FailedServer>) {
        for (server in failed) {
            val reporters = reports.getOrPut(Incarnation(server.id, server.bornMillis)) {
                HashMap()
            }
            reporters[from] = now() + -server.age
        }
        val agreed = agreed()
        if (agreed.isNotEmpty()) avoid(agreed)
    }

    /** Applies what the source of this node's copies knows two nodes to agree on. */
    internal fun apply(agreed: List<FailedServer>) {
        if (agreed.isNotEmpty()) avoid(agreed)
    }

    /** Uses what another data centre agrees on and passes it on to the nodes of this one. */
    internal fun adopt(agreed: List<FailedServer>) {
        synchronized(this) {
            for (server in agreed) {
                val at = now() + -server.age
                adopted.merge(Incarnation(server.id, server.bornMillis), at) { known, new ->
                    if (new.monotonicNanos - known.monotonicNanos > 0) new else known
                }
            }
        }
        apply(agreed)
    }

    /** Servers that failed for two nodes, this one included, with the age of the second report. */
    @Synchronized
    internal fun agreed(): List<FailedServer> {
        for (server in ownFailures()) {
            val reporters = reports.getOrPut(Incarnation(server.id, server.bornMillis)) {
                HashMap()
            }
            reporters[own] = now() + -server.age
        }
        reports.values.forEach { reporters ->
            reporters.values.removeIf { now().since(it) > LIFETIME }
        }
        reports.values.removeIf { it.isEmpty() }
        adopted.values.removeIf { now().since(it) > LIFETIME }
        val ages = reports.filterValues { it.size >= MIN_REPORTERS }
            .mapValues { (_, at) -> at.values.map { now().since(it) }.sorted()[MIN_REPORTERS - 1] }
            .toMutableMap()
        for ((server, at) in adopted) ages.merge(server, now().since(at), ::minOf)
        val found = ages.map { (server, age) ->
            FailedServer(server.id, server.bornMillis, age.inWholeMilliseconds)
        }
        announce(found)
        return found
    }

    private fun announce(found: List<FailedServer>) {
        val servers = found.mapTo(HashSet()) { Incarnation(it.id, it.bornMillis) }
        val new = servers - announced
        announced = servers
        if (new.isNotEmpty()) log.info { "routing: failed for several nodes: ${new.map { it.id }}" }
    }

    public companion object {
        private val log = KotlinLogging.logger {}

        private const val MIN_REPORTERS = 2

        /** A server that is still down is reported again within this time. */
        public val LIFETIME: Duration = 2.seconds
    }
}
