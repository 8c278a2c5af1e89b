package org.bramleytrestle.backend

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking

/** What both runners must do. */
internal abstract class ChainRunnerContract {
    abstract fun runner(backends: Backends): ChainRunner

    @Test
    fun `an answer that skips, repeats or reorders a layer is noticed`() =
        EngineChain().use { chain ->
            Backends.http().use { backends ->
                val work = chain.work(maxTokens = 40)
                val events = runBlocking { runner(backends).run(work).toList() }
                val expected = chain.expected(work)
                val tokens = events.filterIsInstance<StreamEvent.Token>().map { it.event }
                assertEquals(expected.map { it.id }, tokens.map { it.id })
                val reason = if (expected.size == 40) "length" else "stop"
                assertEquals(StreamEvent.Done(expected.size, reason), events.last())
                assertEquals(0, chain.engines.sumOf { it.counts.violations })
            }
        }
}
