package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.LayerRange

class StreamExecutorTest {
    private data class Case(
        val name: String,
        val resumable: Boolean,
        val replies: List<ServerReply>,
        val expected: String,
        val resumesAfter: List<Long?>
    )

    private val servers = listOf("a", "b", "c").flatMap { centre ->
        listOf(
            modelServer("$centre-1", centre, "large", LayerRange(0, 40)),
            modelServer("$centre-2", centre, "large", LayerRange(40, 80))
        )
    }

    private fun run(resumable: Boolean, client: ScriptedClient): String {
        val clock = FakeClock()
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        val service = BackendService("model", model.copy(layerMegabytes = 500.0))
        selector.update(Fleet(servers))
        val budgets = RetryBudgets(1.0, 10, { 1.0 })
        val reply = RecordedReply()
        val executor = StreamExecutor(
            selector,
            client,
            budgets,
            Watchdog(clock::now),
            StallInspector(selector, { null }, { _, task -> task() }, clock::now),
            clock::now,
            clock::advance
        )
        executor.run(
            RequestTask(
                request(at = clock.now()),
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
    fun `a broken stream goes on without a lost or doubled event or is broken off`() {
        val full = ServerReply.NotRun("full", reached = true)
        val broken = ServerReply.Failed("reset")
        val cases = listOf(
            Case("whole", true, listOf(events(1..3L)), "begin,1,2,3,end", listOf(null)),
            Case(
                "resumed",
                true,
                listOf(events(1..2L, breaks = true), events(3..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2)
            ),
            Case(
                "overlap is dropped",
                true,
                listOf(events(1..2L, breaks = true), events(1..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2)
            ),
            Case(
                "a gap breaks the answer off",
                true,
                listOf(events(1..2L, breaks = true), events(4..5L)),
                "begin,1,2,abort",
                listOf(null, 2)
            ),
            Case(
                "not resumable",
                false,
                listOf(events(1..2L, breaks = true)),
                "begin,1,2,abort",
                listOf(null)
            ),
            Case(
                "a refusal after a break is repeated without a third server",
                true,
                listOf(events(1..2L, breaks = true), full, events(3..4L)),
                "begin,1,2,3,4,end",
                listOf(null, 2, 2)
            ),
            Case("no events", false, listOf(broken), "refused BACKEND_FAILED", listOf(null)),
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
        }
    }

    /** Falls silent after the request and notes whether it was ended. */
    private class SilentClient(private val silence: () -> Unit) : ServerClient {
        var ended = false

        override fun open(call: ServerCall) = object : ServerExchange {
            override fun await(): ServerReply {
                silence()
                return ServerReply.Failed("silent")
            }

            override fun cancel() {
                ended = true
            }

            override fun close() = Unit
        }
    }

    private data class Silence(
        val name: String,
        val cancelled: Boolean,
        val allowed: Int = 2,
        val slack: Int = 10,
        val otherLoad: Int = 0,
        val centres: List<String> = listOf("a", "b")
    )

    private fun endsSilence(case: Silence): Boolean {
        val clock = FakeClock()
        val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
        val known = servers.filter { it.dataCentre in case.centres }
        selector.update(Fleet(known))
        val watchdog = Watchdog(clock::now)
        val client = SilentClient {
            clock.advance(1.5.seconds)
            known.filter { it.id == "b-1" }
                .forEach { selector.load(it).reported(case.otherLoad, 0) }
            watchdog.check()
        }
        val stalls = StallInspector(selector, { null }, { _, task -> task() }, clock::now)
        val budgets = RetryBudgets(0.0, case.slack, { 1.0 })
        val executor = StreamExecutor(
            selector,
            client,
            budgets,
            watchdog,
            stalls,
            clock::now,
            clock::advance
        )
        executor.run(
            RequestTask(
                request(at = clock.now()),
                RecordedReply(),
                route(RequestKind.STREAM, servers = case.allowed, resumable = true),
                BackendService("model", model.copy(layerMegabytes = 500.0)),
                null,
                20.seconds,
                RequestTrace("r1", 1, null)
            )
        )
        return client.ended
    }

    // Guards against streams of the last chain that are broken off because it is slow under load.
    @Test
    fun `silence ends an exchange only while a chain behind another server could take over`() {
        val cases = listOf(
            Silence("another chain has room", cancelled = true),
            Silence("no server is left", cancelled = false, allowed = 1),
            Silence("no repeat is left", cancelled = false, slack = 0),
            Silence("the other chain is full", cancelled = false, otherLoad = 200),
            Silence("there is no other chain", cancelled = false, centres = listOf("a"))
        )
        for (case in cases) assertEquals(case.cancelled, endsSilence(case), case.name)
    }
}
