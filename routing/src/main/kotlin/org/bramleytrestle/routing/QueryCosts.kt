package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/**
 * Costs of one query in microseconds per generated token. Every token takes one step at every hop;
 * the prefill steps of the prompt are spread over the expected tokens.
 *
 * @param holders instances that probably hold the prompt prefix in their cache.
 */
internal class QueryCosts(
    private val query: ChainQuery,
    private val links: LinkTable,
    private val localDataCentre: Int,
    private val holders: List<InstanceId> = emptyList()
) : HopCost {
    private val prefillSteps = query.promptTokens.coerceAtLeast(0) / PROMPT_TOKENS_PER_STEP
    private val prefillPerToken = prefillSteps / query.expectedTokens.coerceAtLeast(1)

    override fun micros(server: PlanningServer, layers: Int): Double {
        if (!isAllowed(server)) return Double.POSITIVE_INFINITY
        val steps = if (holdsPrefix(server)) 1.0 else 1.0 + prefillPerToken
        return server.queueMicros * STALE_QUEUE_WEIGHT +
            server.unreportedMicros(query.inFlight) +
            server.microsPerLayer * layers * steps
    }

    /** Cost of a chain, or infinity if one of its servers is excluded or has no capacity. */
    fun micros(chain: Array<PlannedHop>): Double {
        var total = 0.0
        var from = localDataCentre
        for (hop in chain) {
            total += links.micros(from, hop.server.dataCentre) +
                micros(hop.server, hop.layers.size)
            if (total.isInfinite()) return total
            from = hop.server.dataCentre
        }
        return total
    }

    fun plan(candidate: CandidateChain): ChainPlan {
        var step = 0.0
        var prefill = 0.0
        var from = localDataCentre
        for (hop in candidate.plannedHops) {
            val server = hop.server
            val compute = server.microsPerLayer * hop.layers.size
            step += links.micros(from, server.dataCentre) + server.queueMicros +
                server.unreportedMicros(query.inFlight) + compute
            if (!holdsPrefix(server)) prefill += prefillSteps * compute
            from = server.dataCentre
        }
        return ChainPlan(candidate.hops, (step + prefill).toLong(), step.toLong())
    }

    private fun holdsPrefix(server: PlanningServer): Boolean =
        holders.isNotEmpty() && server.id in holders

    private fun isAllowed(server: PlanningServer): Boolean =
        server.id !in query.excluded && query.hasCapacity(server.id)

    private companion object {
        /** Prompt tokens run in parallel; this many take about as long as one decode step. */
        const val PROMPT_TOKENS_PER_STEP = 64.0

        /**
         * Weight of reported queues, which the prepared chains already avoid. All nodes avoid the
         * same queues until new reports arrive, so at full weight the queues oscillate: the p99
         * latency of one-step requests was 524 ms instead of 80 ms at 95% of the rate bound with
         * reports at least 250 ms old.
         */
        const val STALE_QUEUE_WEIGHT = 0.25
    }
}
