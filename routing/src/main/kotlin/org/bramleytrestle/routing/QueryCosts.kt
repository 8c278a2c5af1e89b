package org.bramleytrestle.routing

/**
 * Costs of one query in microseconds for the whole answer: every token takes one step at every
 * hop, and the prompt takes steps of its own at the start.
 */
internal class QueryCosts(
    private val query: ChainQuery,
    private val links: LinkTable,
    private val start: Int
) : HopCost {
    private val tokens = query.expectedTokens.coerceAtLeast(1)
    private val prefillSteps = query.promptTokens.coerceAtLeast(0) / PROMPT_TOKENS_PER_STEP

    override fun micros(server: PlanningServer, layers: Int): Double = when {
        !allowed(server) -> Double.POSITIVE_INFINITY
        else -> server.waitMicros(query.inFlight) + computeMicros(server, layers) / tokens
    }

    /** Cost of the candidate, or infinity if one of its servers may not be used now. */
    fun micros(candidate: Candidate): Double {
        var total = 0.0
        var from = start
        for (hop in candidate.planned) {
            if (!allowed(hop.server)) return Double.POSITIVE_INFINITY
            total += links.micros(from, hop.server.dataCentre) +
                micros(hop.server, hop.layers.size)
            from = hop.server.dataCentre
        }
        return total
    }

    fun plan(candidate: Candidate): ChainPlan {
        var step = 0.0
        var prefill = 0.0
        var from = start
        for ((server, layers) in candidate.planned) {
            step += links.micros(from, server.dataCentre) + server.waitMicros(query.inFlight) +
                server.microsPerLayer * layers.size
            prefill += prefillSteps * server.microsPerLayer * layers.size
            from = server.dataCentre
        }
        return ChainPlan(candidate.hops, (step + prefill).toLong(), step.toLong())
    }

    private fun computeMicros(server: PlanningServer, layers: Int): Double =
        server.microsPerLayer * layers * (tokens + prefillSteps)

    private fun allowed(server: PlanningServer): Boolean =
        server.id !in query.excluded && query.hasRoom(server.id)

    private companion object {
        /** Prompt tokens run in parallel; one decode step takes about as long as this many. */
        const val PROMPT_TOKENS_PER_STEP = 64.0
    }
}
