package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RequestHandlerTest {
    private val clock = FakeClock()
    private val client = ScriptedClient()
    private val selector = ServerSelector("a", ServerLoads(clock::now), clock::now)
    private val watchdog = Watchdog(clock::now)
    private val budgets = establishedBudgets(0.2, 10)
    private val stalls = StallInspector(selector, { null }, { _, _ -> }, clock::now)

    private fun handle(
        shares: List<ServiceShare>,
        prompt: Prompt? = null,
        quarantine: RequestQuarantine = emptyQuarantine(),
        organisations: List<Organisation> = emptyList(),
        path: String = "/p/1",
        age: Duration = Duration.ZERO,
        leavingFor: Duration? = null,
        timeout: Duration = 20.seconds
    ): List<String> {
        val route = route(RequestKind.AT_MOST_ONCE).copy(shares = shares, timeout = timeout)
        val service = BackendService("desk", null)
        val configs = ConfigHolder(clock::now)
        configs.offer(RoutingConfig(1, 1, listOf(route), listOf(service), organisations))
        configs.confirm(clock.now())
        clock.advance(age)
        val lifecycle = NodeLifecycle(ServingBounds().processGrace, clock::now)
        if (leavingFor != null) {
            lifecycle.leave()
            clock.advance(leavingFor)
            configs.confirm(clock.now())
        }
        val handler = RequestHandler(
            configs,
            ServingBounds(configPropagation = 2.seconds),
            lifecycle,
            PlainExecutor(selector, client, budgets, watchdog, emptyQuarantine(), clock::now),
            StreamExecutor(
                selector,
                client,
                budgets,
                watchdog,
                stalls,
                emptyQuarantine(),
                clock::now
            ),
            quarantine,
            onEnd = { _: RequestTrace, _: RequestOutcome, _: Duration -> },
            now = clock::now
        )
        val reply = RecordedReply()
        val caller = request(prompt = prompt, at = clock.now(), target = path)
        handler.handle(caller, reply)
        return reply.got
    }

    private data class Case(val name: String, val shares: List<ServiceShare>)

    @Test
    fun `a route that leads to no known service is refused as not run`() {
        val cases = listOf(
            Case("neither service nor split", emptyList()),
            Case("unknown service", listOf(ServiceShare("missing", 1))),
            Case("only weights of zero to unknown services", listOf(ServiceShare("missing", 0)))
        )
        for (case in cases) {
            assertEquals(
                listOf("refused NO_ROUTE return"),
                handle(case.shares),
                case.name
            )
        }
    }

    /** Guards against a node that starts and sends prompts that the others withhold. */
    @Test
    fun `a prompt is refused until the crash evidence of the other nodes is known`() {
        val missing = listOf(ServiceShare("missing", 1))
        val prompt = Prompt(listOf("f"), "own")
        val quarantine = emptyQuarantine()
        assertEquals(
            listOf("refused PLATFORM_UNAVAILABLE return"),
            handle(missing, prompt, quarantine)
        )
        quarantine.update(emptyList())
        assertEquals(listOf("refused NO_ROUTE return"), handle(missing, prompt, quarantine))
    }

    private data class Denial(
        val name: String,
        val path: String,
        val age: Duration,
        val expected: String
    )

    /** Guards against refusals for good by an outdated configuration, which callers don't retry. */
    @Test
    fun `a route or key is called unknown only by a configuration that must still be in force`() {
        val lab = listOf(Organisation("lab", setOf("k1"), null))
        val cases = listOf(
            Denial("unknown route", "/q/1", 2.seconds, "refused NOT_FOUND"),
            Denial("unknown route, outdated", "/q/1", 2.1.seconds, UNAVAILABLE),
            Denial("unknown key", "/p/1", 2.seconds, "refused UNAUTHENTICATED"),
            Denial("unknown key, outdated", "/p/1", 2.1.seconds, UNAVAILABLE)
        )
        val shares = listOf(ServiceShare("desk", 1))
        for (case in cases) {
            val got = handle(shares, organisations = lab, path = case.path, age = case.age)
            assertEquals(listOf(case.expected), got, case.name)
        }
    }

    /** Guards against requests that are cut, although they may not be repeated, in a planned stop. */
    @Test
    fun `a stopping node passes on no request that its end may cut`() {
        val cases = listOf(
            Triple(1.seconds, 20.seconds, NO_ROUTE),
            Triple(3.seconds, 1.5.seconds, NO_ROUTE),
            Triple(3.seconds, 20.seconds, LEAVING),
            Triple(6.4.seconds, 1.5.seconds, LEAVING),
            Triple(6.seconds, 0.6.seconds, NO_ROUTE)
        )
        for ((after, timeout, expected) in cases) {
            val missing = listOf(ServiceShare("missing", 1))
            val got = handle(missing, leavingFor = after, timeout = timeout)
            assertEquals(listOf(expected), got, "$timeout, $after after the stop")
        }
    }

    private companion object {
        const val UNAVAILABLE = "refused PLATFORM_UNAVAILABLE return"
        const val LEAVING = "refused LEAVING return"
        const val NO_ROUTE = "refused NO_ROUTE return"
    }
}
