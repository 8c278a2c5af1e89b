package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/**
 * Costs of one query in microseconds per token of the answer: every token takes one step at every
 * hop, and the prompt takes steps of its own at the start.
 *
 * @param holders instances that probably hold the prompt in their cache.
 */
internal class QueryCosts(
    private val query: ChainQuery,
    private val links: LinkTable,
    private val start: Int,
    private val holders: List<InstanceId> = emptyList()
) : HopCost {
    private val prefillSteps = query.promptTokens.coerceAtLeast(0) / PROMPT_TOKENS_PER_STEP
    private val prefillPerToken = prefillSteps / query.expectedTokens.coerceAtLeast(1)

    override fun micros(server: PlanningServer, layers: Int): Double {
        if (!allowed(server)) return Double.POSITIVE_INFINITY
        val steps = if (cached(server)) 1.0 else 1.0 + prefillPerToken
        return server.queueMicros * OLD_QUEUE_WEIGHT +
            server.unreportedMicros(query.inFlight) +
            server.microsPerLayer * layers * steps
    }

    /** Cost of a chain, or infinity if one of its servers may not be used now. */
    fun micros(chain: Array<PlannedHop>): Double {
        var total = 0.0
        var from = start
        for (hop in chain) {
            total += links.micros(from, hop.server.dataCentre) +
                micros(hop.server, hop.layers.size)
            if (total.isInfinite()) return total
            from = hop.server.dataCentre
        }
        return total
    }

    fun plan(candidate: Candidate): ChainPlan {
        var step = 0.0
        var prefill = 0.0
        var from = start
        for (hop in candidate.planned) {
            val server = hop.server
            val compute = server.microsPerLayer * hop.layers.size
            step += links.micros(from, server.dataCentre) + server.queueMicros +
                server.unreportedMicros(query.inFlight) + compute
            if (!cached(server)) prefill += prefillSteps * compute
            from = server.dataCentre
        }
        return ChainPlan(candidate.hops, (step + prefill).toLong(), step.toLong())
    }

    private fun cached(server: PlanningServer): Boolean =
        holders.isNotEmpty() && server.id in holders

    private fun allowed(server: PlanningServer): Boolean =
        server.id !in query.excluded && query.hasRoom(server.id)

    private companion object {
        /** Prompt tokens run in parallel; one decode step takes about as long as this many. */
        const val PROMPT_TOKENS_PER_STEP = 64.0

        /**
         * The prepared chains already avoid long queues, and every node avoids the same ones until
         * new reports arrive. At full weight the queues oscillate: 99% of one-step requests took
         * 524 ms instead of 80 ms at 95% of the rate bound with reports at least 250 ms old.
         */
        const val OLD_QUEUE_WEIGHT = 0.25
    }
}
