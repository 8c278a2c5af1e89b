package org.bramleytrestle.serving

import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
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

    private data class SilentCase(
        val name: String,
        val silence: Duration,
        val leaves: Boolean = false,
        val expected: List<String>
    )

    /** Guards against streams that hold their caller and a thread for good (GONE, CONFIG). */
    @Test
    fun `a stream that falls silent ends at its deadline or when its caller leaves`() {
        val cut = listOf("begin", "event 1", "abort")
        val cases = listOf(
            SilentCase("until after the deadline", 21.seconds, expected = cut),
            SilentCase("until the caller left", 3.seconds, leaves = true, expected = cut),
            SilentCase("for a while", 3.seconds, expected = cut.dropLast(1) + "event 2" + "end")
        )
        for (case in cases) {
            val clock = FakeClock()
            val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
            selector.update(Fleet(listOf(plainServer("x"))))
            val watchdog = Watchdog(clock::now)
            var silent = false
            var runningMeanwhile = -1
            val client = ServerClient {
                SilentExchange {
                    silent = true
                    clock.advance(case.silence)
                    runningMeanwhile = selector.load(plainServer("x")).estimate
                    watchdog.check()
                }
            }
            val reply = RecordedReply()
            val executor = PlainExecutor(
                selector,
                client,
                establishedBudgets(1.0, 10),
                watchdog,
                emptyQuarantine(),
                clock::now
            )
            executor.run(
                RequestTask(
                    request(at = clock.now(), disconnected = { silent && case.leaves }),
                    reply,
                    route(RequestKind.STREAM),
                    BackendService("desk"),
                    null,
                    20.seconds,
                    RequestTrace("r1", 1, null)
                )
            )
            assertEquals(case.expected, reply.got, case.name)
            assertEquals(1, runningMeanwhile, "${case.name}: load while the stream runs")
            assertEquals(0, watchdog.count, case.name)
            assertEquals(0, selector.load(plainServer("x")).estimate, case.name)
        }
    }

    /** Sends one event, falls silent, and sends the second one unless it has been cancelled. */
    private class SilentExchange(private val onSilence: () -> Unit) : ServerExchange {
        private var sent = 0L
        private var cancelled = false

        override fun await() = ServerReply.Stream(200, emptyList()) {
            if (sent == 1L) onSilence()
            if (cancelled) throw IOException("cancelled")
            if (sent < 2) StreamEvent(++sent, ByteArray(0)) else null
        }

        override fun cancel() {
            cancelled = true
        }

        override fun close() = Unit
    }

    /** Guards against crashes that are not related to their prompts on services without layers. */
    @Test
    fun `a connection that breaks before an answer is complete is reported with its prompt`() {
        val cases = listOf(
            noAnswer to 1,
            events(LongRange.EMPTY, interrupted = true) to 1,
            events(1..2L, interrupted = true) to 1,
            events(1..3L, interrupted = true) to 1,
            events(1..40L, interrupted = true) to 1,
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
