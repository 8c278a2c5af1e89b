package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class PlainExecutorTest {
    private data class Case(
        val name: String,
        val kind: RequestKind,
        val replies: List<ServerReply>,
        val expected: String,
        val servers: Int
    )

    private val ok = ServerReply.Complete(200, emptyList(), ByteArray(0))
    private val failed = ServerReply.Complete(500, emptyList(), ByteArray(0))
    private val full = ServerReply.NotRun("full", reached = true)
    private val unreachable = ServerReply.NotRun("no connection", reached = false)
    private val noAnswer = ServerReply.Failed("reset")

    private fun run(
        kind: RequestKind,
        client: ScriptedClient,
        quarantine: RequestQuarantine = emptyQuarantine()
    ): List<String> {
        val clock = FakeClock()
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        selector.update(Fleet(listOf("x", "y", "z").map(::plainServer)))
        val budgets = establishedBudgets(1.0, 10)
        val reply = RecordedReply()
        val executor = PlainExecutor(
            selector,
            client,
            budgets,
            Watchdog(clock::now),
            quarantine,
            clock::now
        )
        executor.run(
            RequestTask(
                request(prompt = Prompt(listOf("f", "d"), "own"), at = clock.now()),
                reply,
                route(kind),
                BackendService("desk"),
                null,
                20.seconds,
                RequestTrace("r1", 1, null)
            )
        )
        return reply.got
    }

    @Test
    fun `a request is retried only if it did not run or a second run is harmless`() {
        val once = RequestKind.AT_MOST_ONCE
        val idempotent = RequestKind.IDEMPOTENT
        val cases = listOf(
            Case("answered", once, listOf(ok), "answer 200", 1),
            Case("refused, then answered", once, listOf(full, ok), "answer 200", 2),
            Case("may have run", once, listOf(noAnswer), "refused OUTCOME_UNKNOWN", 1),
            Case("a server error counts as run", once, listOf(failed), "answer 500", 1),
            Case("refused twice", once, listOf(full, full), "refused OVERLOADED return", 2),
            Case(
                "unreachable not counted",
                once,
                listOf(unreachable, full, ok),
                "answer 200",
                3
            ),
            Case("retried after a failure", idempotent, listOf(noAnswer, ok), "answer 200", 2),
            Case("retried after an error", idempotent, listOf(failed, ok), "answer 200", 2),
            Case("last error is forwarded", idempotent, listOf(failed, noAnswer), "answer 500", 2),
            Case("no answer", idempotent, listOf(noAnswer, noAnswer), "refused BACKEND_FAILED", 2),
            Case("ran somewhere", idempotent, listOf(noAnswer, full), "refused BACKEND_FAILED", 2)
        )
        for ((name, kind, replies, expected, servers) in cases) {
            val client = ScriptedClient(*replies.toTypedArray())
            assertEquals(listOf(expected), run(kind, client), name)
            assertEquals(servers, client.calls.map { it.server.id }.distinct().size, name)
        }
    }

    /** Guards against crashes that are not related to their prompts on services without layers. */
    @Test
    fun `a connection that breaks at the beginning of an answer is reported with its prompt`() {
        val cases = listOf(
            noAnswer to 1,
            events(LongRange.EMPTY, interrupted = true) to 1,
            events(1..2L, interrupted = true) to 1,
            events(1..3L, interrupted = true) to 0,
            events(1..2L) to 0,
            ok to 0
        )
        for ((i, case) in cases.withIndex()) {
            var checked = 0
            val quarantine = RequestQuarantine({ false }, { _, _ -> checked++ }, {})
            run(RequestKind.STREAM, ScriptedClient(case.first), quarantine)
            assertEquals(case.second, checked, "case $i")
        }
    }
}
