package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration

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
        quarantine: PromptQuarantine = emptyQuarantine()
    ): List<String> {
        val route = route(RequestKind.AT_MOST_ONCE).copy(shares = shares)
        val service = BackendService("desk", null)
        val configs = ConfigHolder(clock::now)
        configs.offer(RoutingConfig(1, 1, listOf(route), listOf(service), emptyList()))
        configs.confirm(clock.now())
        val handler = RequestHandler(
            configs,
            ServingBounds(),
            NodeLifecycle(ServingBounds().processGrace, clock::now),
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
        handler.handle(request(prompt = prompt, at = clock.now()), reply)
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
}
