package org.bramleytrestle.backend

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.standins.engine.EngineFaults

internal class NodeDrivenChainRunnerTest : ChainRunnerContract() {
    override fun runner(backends: Backends): ChainRunner = backends.runner(RunnerKind.NODE_DRIVEN)

    @Test
    fun `replacing a failed hop neither reruns other hops nor changes the response`() {
        val faults = listOf(
            EngineFaults(dieAfterSteps = 5),
            EngineFaults(freezeAfterSteps = 5),
            EngineFaults(dieAfterSteps = 1),
            EngineFaults(crossedAnswers = 0.2, seed = 7)
        )
        for (fault in faults) {
            for (failing in listOf(0, 2, 3)) assertReplaced(fault, failing)
        }
    }

    private fun assertReplaced(fault: EngineFaults, failing: Int) = EngineChain().use { chain ->
        Backends.http(OPTIONS).use { backends ->
            val spare = chain.spare(failing)
            chain.engines[failing].faults(fault)
            val runner = backends.runner(RunnerKind.NODE_DRIVEN) { failed ->
                spare.takeIf { failed.instance == chain.hops[failing].instance }
            }
            val work = chain.work(maxTokens = 20)
            val events = runBlocking { runner.run(work).toList() }
            val expected = chain.expected(work).map { it.id }
            assertEquals(expected, events.ids(), "$fault at hop $failing")
            val lineages = events.filterIsInstance<StreamEvent.Token>().map { it.event.lineage }
            assertEquals(spare.instance, lineages.last()[failing].instance)
            val others = chain.engines.filterIndexed { index, _ -> index != failing }
            val steps = expected.size + if (expected.size < work.maxTokens) 1 else 0
            assertEquals(List(others.size) { steps.toLong() }, others.map { it.counts.steps })
            assertEquals(0, chain.engines.sumOf { it.counts.violations })
        }
    }
}
