package org.bramleytrestle.backend

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.flow.toList
import org.bramleytrestle.standins.engine.EngineFaults

internal class EngineForwardedChainRunnerTest : ChainRunnerContract() {
    override fun runner(backends: Backends): ChainRunner = backends.runner()

    @Test
    fun `a stream that ends without its terminal event is reported as truncated`() =
        withRunner { chain, runner ->
            for ((index, tokens) in listOf(0, 3).withIndex()) {
                chain.engines[0].faults(EngineFaults(truncateAfterTokens = tokens))
                val events = runner.run(chain.work(request = "r$index")).toList()
                val failed =
                    StreamEvent.Failed(chain.hops[0].instance, HopFailure.TRUNCATED)
                assertEquals(failed, events.last())
                assertEquals(tokens, events.ids().size)
            }
        }
}
