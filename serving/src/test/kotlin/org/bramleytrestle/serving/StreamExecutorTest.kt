package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.LayerRange

class StreamExecutorTest {
    private data class Case(
        val name: String,
        val resumable: Boolean,
        val replies: List<ServerReply>,
        val expected: String,
        val resumesAfter: List<Long?>
    )

    private fun servers(vararg centres: String) = centres.flatMap { centre ->
        listOf(
            modelServer("$centre-1", centre, "large", LayerRange(0, 40)),
            modelServer("$centre-2", centre, "large", LayerRange(40, 80))
        )
    }

    private fun run(
        resumable: Boolean,
        client: ServerClient,
        prompt: Prompt? = null,
        quarantine: RequestQuarantine = emptyQuarantine(),
        reply: RecordedReply = RecordedReply(),
        fleet: List<BackendServer> = servers("a", "b", "c"),
        budgets: RetryBudgets = establishedBudgets(1.0, 10),
        disconnected: () -> Boolean = { false }
    ): String {
        val clock = FakeClock()
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        val service = BackendService("model", model.copy(layerMegabytes = 500.0))
        selector.update(Fleet(fleet))
        val executor = StreamExecutor(
            selector,
            client,
            budgets,
            Watchdog(clock::now),
            StallInspector(selector, { null }, { _, task -> task() }, clock::now),
            quarantine,
            clock::now,
            await = { _, span -> clock.advance(span) }
        )
        executor.run(
            RequestTask(
                request(prompt = prompt, at = clock.now(), disconnected = disconnected),
                reply,
                route(RequestKind.STREAM, resumable = resumable),
                service,
                null,
                20.seconds,
                RequestTrace("r1", 1, null)
            )
        )
        return reply.got.joinToString(",") { it.removePrefix("event ") }
    }

    @Test
    fun `an interrupted stream resumes without a lost or duplicate event or is aborted`() {
        val full = ServerReply.NotRun("full", reached = true)
        val noAnswer = ServerReply.Failed("reset")
        val error = ServerReply.Complete(500, emptyList(), "failed\n\n".toByteArray())
        val cases = listOf(
            Case("complete", true, listOf(events(1..3L)), "begin,1,2,3,end", listOf(null)),
            Case(
                "resumed",
                true,
                listOf(events(1..2L, interrupted = true), events(3..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2)
            ),
            Case(
                "overlap is dropped",
                true,
                listOf(events(1..2L, interrupted = true), events(1..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2)
            ),
            Case(
                "a gap aborts the response",
                true,
                listOf(events(1..2L, interrupted = true), events(4..5L)),
                "begin,1,2,abort",
                listOf(null, 2)
            ),
            Case(
                "not resumable",
                false,
                listOf(events(1..2L, interrupted = true)),
                "begin,1,2,abort",
                listOf(null)
            ),
            Case(
                "a refusal after an interruption is retried without a third server",
                true,
                listOf(events(1..2L, interrupted = true), full, events(3..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2, 2)
            ),
            Case(
                "an error after an interruption is not part of the stream",
                true,
                listOf(events(1..2L, interrupted = true), error, events(3..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2, 2)
            ),
            Case(
                "a whole answer after an interruption is not part of the stream",
                true,
                listOf(
                    events(1..2L, interrupted = true),
                    ServerReply.Complete(200, emptyList(), "late".toByteArray()),
                    error,
                    error
                ),
                "begin,1,2,abort",
                listOf(null, 2, 2, 2)
            ),
            Case(
                "errors only after an interruption do not end the stream as complete",
                true,
                listOf(events(1..2L, interrupted = true), error, error, error),
                "begin,1,2,abort",
                listOf(null, 2, 2, 2)
            ),
            Case("no events", false, listOf(noAnswer), "refused BACKEND_FAILED", listOf(null)),
            Case(
                "refused first",
                false,
                listOf(full, events(1..1L)),
                "begin,1,end",
                listOf(null, null)
            ),
            Case(
                "refused everywhere",
                true,
                listOf(full, full),
                "refused OVERLOADED return",
                listOf(null, null)
            )
        )
        for ((name, resumable, replies, expected, resumesAfter) in cases) {
            val client = ScriptedClient(*replies.toTypedArray())
            assertEquals(expected, run(resumable, client), name)
            assertEquals(resumesAfter, client.calls.map { it.lastEvent }, name)
            for (call in client.calls) assertEquals(true, call.chain?.covers(80), name)
            assertTrue(client.calls.map { it.server.id }.distinct().size <= 2, name)
            val resent = client.calls.mapIndexed { i, call ->
                client.calls.take(i).any { it.server.id == call.server.id }
            }
            assertEquals(resent, client.calls.map { it.resent }, name)
        }
    }

    /** Guards against a stream that is lost to servers which a release has just taken away. */
    @Test
    fun `an interrupted stream outlasts servers that refuse connections`() {
        val refused = ServerReply.NotRun("no connection", reached = false)
        val replies = listOf(events(1..2L, interrupted = true)) + List(5) { refused }
        val client = ScriptedClient(*replies.toTypedArray(), events(3..4L))
        val fleet = servers("a", "b", "c", "d", "e", "f", "g")
        assertEquals("begin,1,2,3,4,end", run(resumable = true, client, fleet = fleet))
    }

    /** Guards against work for a caller who left before a starting node read the request. */
    @Test
    fun `a stream whose caller has left reaches no server`() {
        val client = ScriptedClient(events(1..2L))
        run(resumable = true, client, disconnected = { true })
        assertEquals(0, client.calls.size)
    }

    private data class DelayCase(
        val name: String,
        val chains: Int,
        val delays: ClosedRange<Duration>
    )

    /** Guards against callers who wait for a recovery although another chain has room for them. */
    @Test
    fun `a stream that the retry budget does not let go elsewhere returns soon`() {
        val cases = listOf(
            DelayCase("another chain has room", 2, 100.milliseconds..300.milliseconds),
            DelayCase("no other chain", 1, 3.seconds..6.seconds)
        )
        for (case in cases) {
            var delay: Duration? = null
            val reply = object : RecordedReply() {
                override fun refuse(kind: ErrorKind, detail: String, retryAfter: Duration?) {
                    delay = retryAfter
                }
            }
            run(
                resumable = true,
                ScriptedClient(ServerReply.NotRun("down", reached = true, faultyAddress = "x:1")),
                reply = reply,
                fleet = servers(*arrayOf("a", "b").copyOf(case.chains).requireNoNulls()),
                budgets = establishedBudgets(0.0, 0)
            )
            assertTrue(checkNotNull(delay) in case.delays, "${case.name}: $delay")
        }
    }

    /**
     * The first server sends [before] events and then falls silent for a while in which the watchdog
     * checks its request; it sends the rest, unless it has been cancelled by then.
     */
    private class PausingClient(
        private val before: Int,
        private val elsewhere: ServerReply,
        private val onPause: () -> Unit
    ) : ServerClient {
        val calls = mutableListOf<ServerCall>()
        var cancelled = false
        var elsewhereClosed = 0

        override fun open(call: ServerCall): ServerExchange {
            calls += call
            return if (calls.size == 1) FirstExchange() else OtherExchange()
        }

        private inner class FirstExchange : ServerExchange {
            private var sent = 0L
            private var paused = false

            override fun await(): ServerReply {
                if (before == 0) pause()
                return if (cancelled) ServerReply.Failed("cancelled") else stream()
            }

            private fun stream() = ServerReply.Stream(200, emptyList()) {
                if (sent == before.toLong() && !paused) pause()
                if (cancelled) throw java.io.IOException("cancelled")
                if (sent < EVENTS) StreamEvent(++sent, ByteArray(0)) else null
            }

            private fun pause() {
                paused = true
                onPause()
            }

            override fun cancel() {
                cancelled = true
            }

            override fun close() = Unit
        }

        private inner class OtherExchange : ServerExchange {
            override fun await() = elsewhere

            override fun cancel() = Unit

            override fun close() {
                elsewhereClosed++
            }
        }
    }

    private data class PauseCase(
        val name: String,
        val expected: String,
        val elsewhere: ServerReply = events(3..4L),
        val before: Int = 2,
        val asked: Int = 1,
        val cancelled: Boolean = false,
        val allowed: Int = 2,
        val slack: Int = 10,
        val otherLoad: Int = 0,
        val centres: List<String> = listOf("a", "b"),
        val hasThread: Boolean = true,
        val startsLater: Boolean = false
    )

    private fun runPaused(case: PauseCase): Pair<PausingClient, List<String>> {
        val clock = FakeClock()
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        val known = servers("a", "b", "c").filter { it.dataCentre in case.centres }
        selector.update(Fleet(known))
        val watchdog = Watchdog(clock::now)
        val client = PausingClient(case.before, case.elsewhere) {
            repeat(3) {
                clock.advance(1.5.seconds)
                known.filter { it.id == "b-1" }
                    .forEach { selector.load(it).reported(case.otherLoad, 0) }
                watchdog.check()
            }
        }
        val stalls = StallInspector(selector, { null }, { _, task -> task() }, clock::now)
        val reply = RecordedReply()
        val later = mutableListOf<() -> Unit>()
        val executor = StreamExecutor(
            selector,
            client,
            establishedBudgets(0.0, case.slack),
            watchdog,
            stalls,
            emptyQuarantine(),
            clock::now,
            await = { _, span -> clock.advance(span) },
            startHedge = { task ->
                if (case.startsLater) {
                    later += task
                } else if (case.hasThread) {
                    task()
                }
                case.hasThread
            }
        )
        executor.run(
            RequestTask(
                request(at = clock.now()),
                reply,
                route(RequestKind.STREAM, servers = case.allowed, resumable = true),
                BackendService("model", model.copy(layerMegabytes = 500.0)),
                null,
                20.seconds,
                RequestTrace("r1", 1, null)
            )
        )
        later.forEach { it() }
        return client to reply.got
    }

    /**
     * Guards against answers that end unfinished because their server paused and no other one took
     * them, against aborting streams on the last usable chain when it is only slow under load, and
     * against an event that is lost or comes twice when a stream goes on elsewhere.
     */
    @Test
    fun `a stream that pauses stays open until it has begun on another chain`() {
        val whole = "begin,event 1,event 2,event 3,event 4,end"
        val refusal = ServerReply.NotRun("status 503", reached = true)
        val cases = listOf(
            PauseCase("has begun elsewhere", whole, cancelled = true),
            PauseCase("refused elsewhere", whole, elsewhere = refusal),
            PauseCase("failed elsewhere", whole, elsewhere = ServerReply.Failed("reset")),
            PauseCase(
                "ended elsewhere before an event",
                whole,
                elsewhere = events(LongRange.EMPTY, interrupted = true)
            ),
            PauseCase(
                "an error elsewhere",
                whole,
                elsewhere = ServerReply.Complete(500, emptyList(), ByteArray(0))
            ),
            PauseCase(
                "has begun elsewhere before the first event",
                whole,
                elsewhere = events(1..4L),
                before = 0,
                cancelled = true
            ),
            PauseCase("refused before the first event", whole, refusal, before = 0),
            PauseCase("no server is left", whole, asked = 0, allowed = 1),
            PauseCase("the retry budget is empty", whole, asked = 0, slack = 0),
            PauseCase("the other chain is full", whole, asked = 0, otherLoad = 200),
            PauseCase("there is no other chain", whole, asked = 0, centres = listOf("a")),
            PauseCase("begins elsewhere after the end", whole, startsLater = true),
            PauseCase("no thread is free", whole, hasThread = false, asked = 3)
        )
        for (case in cases) {
            val (client, got) = runPaused(case)
            assertEquals(case.expected, got.joinToString(","), case.name)
            assertEquals(case.asked, client.calls.size - 1, case.name)
            assertEquals(case.cancelled, client.cancelled, case.name)
            assertEquals(case.asked, client.elsewhereClosed, case.name)
            for (call in client.calls.drop(1)) {
                assertEquals(case.before.toLong().takeIf { it > 0 }, call.lastEvent, case.name)
            }
        }
    }

    private data class CrashCase(
        val name: String,
        val replies: List<ServerReply>,
        val blockedBefore: Boolean = false,
        val blockedByBreak: Boolean = true,
        val expected: String,
        val broken: Int
    )

    /** Guards against a prompt that crashes one server after the other through retries. */
    @Test
    fun `a prompt that is withheld reaches no further server`() {
        val prompt = Prompt(listOf("f", "d"), "own")
        val noEvents = events(LongRange.EMPTY, interrupted = true)
        val cases = listOf(
            CrashCase(
                "withheld before it is sent",
                emptyList(),
                blockedBefore = true,
                expected = "refused PROMPT_WITHHELD",
                broken = 0
            ),
            CrashCase(
                "withheld once it has ended a server",
                listOf(noEvents),
                expected = "begin,abort",
                broken = 1
            ),
            CrashCase(
                "no answer began",
                listOf(ServerReply.Failed("reset")),
                expected = "refused BACKEND_FAILED",
                broken = 1
            ),
            CrashCase(
                "an answer past its beginning breaks",
                listOf(events(1..4L, interrupted = true), events(5..6L)),
                blockedByBreak = false,
                expected = "begin,1,2,3,4,5,6,end",
                broken = 1
            ),
            CrashCase(
                "withheld once it has ended a server past its beginning",
                listOf(events(1..6L, interrupted = true)),
                expected = "begin,1,2,3,4,5,6,abort",
                broken = 1
            )
        )
        for (case in cases) {
            var broken = 0
            val block = { id: String ->
                CrashEvidence(id, setOf("d"), setOf("$id@1"), true, FakeClock().now().wallMillis)
            }
            lateinit var quarantine: RequestQuarantine
            quarantine = RequestQuarantine(
                hasEnded = { true },
                schedule = { _, task ->
                    if (broken++ == 0) {
                        task()
                        val blocks = listOf(block("p1"), block("p2"))
                        quarantine.update(if (case.blockedByBreak) blocks else emptyList())
                    }
                },
                share = {},
                now = FakeClock()::now
            )
            if (case.blockedBefore) quarantine.update(listOf(block("p1"), block("p2")))
            val client = ScriptedClient(*case.replies.toTypedArray())
            val reply = RecordedReply()
            assertEquals(case.expected, run(true, client, prompt, quarantine, reply), case.name)
            if (case.blockedBefore) {
                assertEquals(ErrorKind.PROMPT_WITHHELD.title, reply.refusalDetail, case.name)
            }
            assertEquals(case.replies.size, client.calls.size, case.name)
            assertEquals(case.broken, minOf(broken, 1), case.name)
        }
    }

    private companion object {
        const val EVENTS = 4
    }
}
