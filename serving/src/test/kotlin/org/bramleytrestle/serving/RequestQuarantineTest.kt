package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.ErrorKind

class RequestQuarantineTest {
    private val clock = FakeClock()
    private val begin = clock.now()
    private val elapsed get() = clock.now().since(begin)

    /** Tasks that are due at a time. */
    private val scheduled = mutableListOf<Pair<Duration, () -> Unit>>()

    private val stored = mutableMapOf<String, CrashEvidence>()
    private var shares = 0
    private var exchangeTime = 500.milliseconds
    private val nodes: MutableList<RequestQuarantine> = MutableList(NODES) { startNode(Random(it)) }
    private val crashes = mutableListOf<Duration>()
    private val ended = mutableSetOf<BackendServer>()
    private var starts = 0
    private val servers = MutableList(6) { startServer() }

    private fun startServer() = modelServer("s${starts++}", "a", "large")

    /** Whether the node with the number clears suspect parts. */
    private var clearers: (Int) -> Boolean = { true }

    private fun startNode(random: Random, number: Int = 0): RequestQuarantine = RequestQuarantine(
        mayClear = { clearers(number) },
        hasEnded = { it in ended },
        schedule = { delay, task -> scheduled += elapsed + delay to task },
        share = { evidence ->
            shares++
            stored.merge(evidence.request, evidence, CrashEvidence::merge)
            scheduled += elapsed + exchangeTime to { nodes.forEach { it.update(stored.values) } }
        },
        now = clock::now,
        random = random
    )

    private fun advance(span: Duration) {
        val until = elapsed + span
        while (elapsed < until) {
            clock.advance(10.milliseconds)
            val due = scheduled.filter { it.first <= elapsed }
            scheduled -= due.toSet()
            due.forEach { it.second() }
        }
    }

    /** Sends a request as a node does; returns the number of servers that it reached. */
    private fun send(
        node: RequestQuarantine,
        prompt: RequestContent,
        crashes: Boolean,
        begun: Boolean = true,
        attempts: Int = 2
    ): Int {
        repeat(attempts) { attempt ->
            if (node.blocks(prompt)) return attempt
            val index = (starts + attempt) % servers.size
            if (!crashes) {
                node.onAnswered(prompt)
                return 1
            }
            this.crashes += elapsed
            ended += servers[index]
            node.onBroken(prompt, servers[index], begun)
            servers[index] = startServer()
            advance(50.milliseconds)
        }
        return attempts
    }

    private data class Case(
        val name: String,
        val firstParts: Int,
        val restartNodes: Boolean = false
    )

    /** Guards against requests of one kind that end servers one after the other. */
    @Test
    fun `a part that crashes servers is found by all nodes and the other parts stay in use`() {
        val cases = listOf(
            Case("common first parts", firstParts = 4),
            Case("rare first parts", firstParts = 200),
            Case("all nodes restart", firstParts = 40, restartNodes = true)
        )
        for ((seed, case) in cases.withIndex()) {
            val random = Random(seed)
            stored.clear()
            crashes.clear()
            nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
            var late = 0
            var refused = 0
            repeat(300) { round ->
                if (case.restartNodes && round == 200) {
                    nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
                    nodes.forEach { it.update(stored.values) }
                }
                repeat(5) { i ->
                    val prompt =
                        RequestContent(listOf("f${random.nextInt(case.firstParts)}"), "$round-$i")
                    if (send(nodes.random(random), prompt, crashes = false) == 0) refused++
                }
                if (round > 20 && round % 5 == 0) {
                    val first = "f${random.nextInt(case.firstParts)}"
                    val prompt = RequestContent(listOf(first, "deadly$seed"), "deadly-$seed-$round")
                    // The caller tries again once.
                    repeat(2) {
                        val bound = crashes.getOrNull(4)?.plus(3.seconds)
                        val reached = send(nodes.random(random), prompt, crashes = true)
                        if (bound != null && elapsed > bound) late += reached
                    }
                }
                advance(200.milliseconds)
            }
            assertTrue(late <= 3, "${case.name}: $late sends after the fifth crash and 3 s")
            assertEquals(0, refused, "${case.name}: sound requests refused")
        }
    }

    private data class BrokenCase(
        val name: String,
        val serverEnded: Boolean = true,
        val answered: Boolean = false,
        val begun: Boolean = true,
        val sameServer: Boolean = false,
        val prompts: List<RequestContent>,
        val blocked: Set<Set<String>>
    )

    private fun manyParts(prefix: String) = (1..4_000).joinToString(" ") { "$prefix$it" }

    private fun prompts(vararg shared: String) =
        shared.mapIndexed { i, parts -> RequestContent(parts.split(' '), "own$i") }

    /** Guards against sound parts that are withheld because of ordinary failures. */
    @Test
    fun `a part is blamed only for answers that ended different servers`() {
        val cases = listOf(
            BrokenCase(
                "two prompts",
                prompts = prompts("f1 d", "f2 d"),
                blocked = setOf(setOf("d"))
            ),
            BrokenCase("one prompt", prompts = prompts("f1 d"), blocked = emptySet()),
            BrokenCase(
                "connections broke, the servers run on",
                serverEnded = false,
                prompts = prompts("f1 d", "f2 d"),
                blocked = emptySet()
            ),
            BrokenCase(
                "the part was answered before",
                answered = true,
                prompts = prompts("d", "d"),
                blocked = emptySet()
            ),
            BrokenCase(
                "one crash ended both",
                sameServer = true,
                prompts = prompts("f1 d", "f2 d"),
                blocked = emptySet()
            ),
            BrokenCase(
                "two prompts waited for their answers",
                begun = false,
                prompts = prompts("f1 d", "f2 d"),
                blocked = emptySet()
            ),
            BrokenCase(
                "three prompts waited for their answers",
                begun = false,
                prompts = prompts("f1 d", "f2 d", "f3 d"),
                blocked = setOf(setOf("d"))
            ),
            BrokenCase(
                "two parts that cannot be told apart are blamed together",
                prompts = prompts("f1 d", "f1 d"),
                blocked = setOf(setOf("f1", "d"))
            ),
            BrokenCase(
                "a third prompt tells them apart",
                prompts = prompts("f1 d", "f1 d", "f2 d"),
                blocked = setOf(setOf("d"))
            ),
            BrokenCase(
                "two prompts of thousands of parts",
                prompts = prompts(manyParts("f") + " d", "d " + manyParts("g")),
                blocked = setOf(setOf("d"))
            ),
            BrokenCase(
                "thousands of parts that cannot be told apart",
                prompts = prompts(manyParts("f"), manyParts("f")),
                blocked = setOf(manyParts("f").split(' ').toSet())
            )
        )
        for (case in cases) {
            val node = startNode(Random(1))
            if (case.answered) case.prompts.forEach(node::onAnswered)
            for ((i, prompt) in case.prompts.withIndex()) {
                val server = modelServer(if (case.sameServer) "s" else "s$i", "a", "large")
                if (case.serverEnded) ended += server
                node.onBroken(prompt, server, case.begun)
            }
            advance(1.seconds)
            assertEquals(case.blocked, node.blockedGroups, case.name)
            ended.clear()
        }
    }

    /** Guards against sound prompts that are withheld for crashes that another prompt caused. */
    @Test
    fun `a crash that a blamed part explains counts against no other prompt`() {
        val node = startNode(Random(1))
        val sound = RequestContent(listOf("s"), "sound")
        val deadly = prompts("d", "d")
        for ((i, prompt) in deadly.withIndex()) {
            val server = modelServer("s$i", "a", "large")
            ended += server
            node.onBroken(prompt, server, begun = true)
            node.onBroken(sound, server, begun = true)
        }
        advance(1.seconds)
        assertEquals(setOf(setOf("d")), node.blockedGroups)
        assertTrue(!node.blocks(sound))
        val others =
            listOf(RequestContent(listOf("s", "x"), "o1"), RequestContent(listOf("s", "y"), "o2"))
        for ((i, prompt) in others.withIndex()) {
            val server = modelServer("t$i", "a", "large")
            ended += server
            node.onBroken(prompt, server, begun = true)
        }
        advance(1.seconds)
        assertTrue(setOf("s") in node.blockedGroups, "other servers ended on the part")
    }

    private data class LateCase(val name: String, val events: Int, val ran: Duration)

    /** Guards against a part that is never withheld because servers write events before they end. */
    @Test
    fun `a part that crashes servers some events after the beginning of answers is found`() {
        val cases = listOf(
            LateCase("third event", 3, 60.milliseconds),
            LateCase("sixth event", 6, 120.milliseconds),
            LateCase("sixth event on a slow server", 6, 900.milliseconds),
            LateCase("eighth event", 8, 160.milliseconds),
            LateCase("thirtieth event", 30, 600.milliseconds)
        )
        for (case in cases) {
            nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
            stored.clear()
            var crashes = 0
            repeat(60) { number ->
                val node = nodes[number % NODES]
                val sound = RequestContent(listOf("f"), "${case.name} s$number")
                node.onEvent(sound, 3, 60.milliseconds)
                node.onAnswered(sound)
                val deadly = RequestContent(listOf("f", "d"), "${case.name} d$number")
                if (number % 5 == 0 && !node.blocks(deadly)) {
                    val server = startServer().also { ended += it }
                    for (event in 1..case.events) {
                        node.onEvent(deadly, event, case.ran * event / case.events)
                    }
                    node.onBroken(deadly, server, begun = true, case.events, case.ran)
                    crashes++
                }
                advance(200.milliseconds)
            }
            assertTrue(crashes <= 5, "${case.name}: $crashes crashes")
            for (node in nodes) assertEquals(setOf(setOf("d")), node.blockedGroups, case.name)
        }
    }

    /** Guards against sound parts that are withheld because servers crash while these are new. */
    @Test
    fun `a new part is not blamed for crashes while other answers with it go on`() {
        for (ran in listOf(400.milliseconds, 1.seconds, 2.seconds)) {
            nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
            stored.clear()
            val running = List(14) { RequestContent(listOf("new"), "$ran r$it") }
            val broken = List(14) { RequestContent(listOf("new"), "$ran b$it") }
            val events = (ran / 40.milliseconds).toInt()
            val lost = List(2) { startServer().also { ended += it } }
            for ((i, content) in broken.withIndex()) {
                nodes[i % NODES].onEvent(content, events / 8 * 8, ran)
                nodes[i % NODES].onBroken(content, lost[i % 2], begun = true, events, ran)
            }
            for (step in 1..150) {
                advance(40.milliseconds)
                for ((i, content) in running.withIndex()) {
                    nodes[i % NODES].onEvent(content, events + step, ran + 40.milliseconds * step)
                }
                for (node in nodes) assertEquals(emptySet(), node.blockedGroups, "$ran, $step")
            }
        }
    }

    /** Guards against a part that stays withheld forever, and one that returns while it is sent. */
    @Test
    fun `a block ends some time after the last request with the part`() {
        val node = nodes[0]
        val deadly = prompts("f1 d", "f2 d")
        for (prompt in deadly) {
            val server = startServer().also { ended += it }
            node.onBroken(prompt, server, begun = true)
        }
        advance(1.seconds)
        assertTrue(node.blocks(deadly[0]))
        clock.advance(RequestQuarantine.LIFETIME - 60.seconds)
        assertTrue(node.blocks(deadly[0]))
        advance(1.seconds)
        clock.advance(120.seconds)
        node.refresh()
        assertTrue(node.blocks(deadly[0]), "refused requests extend the block")
        clock.advance(RequestQuarantine.LIFETIME)
        node.refresh()
        assertTrue(!node.blocks(deadly[0]))
    }

    /** Guards against a write of every node for each part that they all know an answer of. */
    @Test
    fun `a part that all nodes have answers of is cleared by few of them`() {
        exchangeTime = 20.milliseconds
        for (node in nodes.drop(1)) node.onAnswered(RequestContent(listOf("f"), "p"))
        val server = startServer().also { ended += it }
        nodes[0].onBroken(RequestContent(listOf("f", "d"), "deadly"), server, begun = true)
        advance(2.seconds)
        assertEquals(setOf("d"), stored.getValue("deadly").suspects)
        assertTrue(shares <= 3, "$shares writes")
        for (node in nodes) node.onAnswered(RequestContent(listOf("d"), "q"))
        advance(2.seconds)
        assertEquals(emptySet(), stored.getValue("deadly").suspects)
        assertTrue(shares <= 6, "$shares writes")
    }

    private companion object {
        const val NODES = 7
    }

    private data class RepeatedCase(
        val name: String,
        val parts: List<String>,
        val partsKnown: Boolean = true,
        val begun: Boolean = true,
        val attempts: Int = 2,
        val restartNodes: Boolean = false
    )

    /** Guards against one request that crashes server after server, sent again to any node. */
    @Test
    fun `a request that crashes servers is withheld by all nodes, and its parts stay in use`() {
        val cases = listOf(
            RepeatedCase("its parts are known as sound", listOf("f")),
            RepeatedCase("nobody has used its parts", listOf("new"), partsKnown = false),
            RepeatedCase("it has no parts", emptyList()),
            RepeatedCase("it ends servers before their answers", emptyList(), begun = false),
            RepeatedCase(
                "it ends one server at each node, before its answer",
                listOf("f"),
                begun = false,
                attempts = 1
            ),
            RepeatedCase("all nodes restart", listOf("f"), restartNodes = true)
        )
        for ((seed, case) in cases.withIndex()) {
            val random = Random(seed)
            stored.clear()
            crashes.clear()
            nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
            val deadly = RequestContent(case.parts, "deadly")
            var late = 0
            var refused = 0
            repeat(100) { round ->
                if (case.restartNodes && round == 60) {
                    nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
                    nodes.forEach { it.update(stored.values) }
                }
                repeat(3) {
                    val parts = if (case.partsKnown) case.parts else listOf("f")
                    val sound = RequestContent(parts, "$round-$it")
                    if (send(nodes.random(random), sound, crashes = false) == 0) refused++
                }
                if (round > 5 && round % 2 == 0) {
                    val bound = crashes.getOrNull(2)?.plus(3.seconds)
                    val node = nodes[round / 2 % NODES]
                    val reached = send(node, deadly, crashes = true, case.begun, case.attempts)
                    if (bound != null && elapsed > bound) late += reached
                }
                advance(200.milliseconds)
            }
            assertTrue(late <= 3, "${case.name}: $late sends after the third crash and 3 s")
            assertTrue(crashes.size <= 6, "${case.name}: ${crashes.size} crashes")
            assertEquals(0, refused, "${case.name}: sound requests refused")
            assertEquals(ErrorKind.REQUEST_WITHHELD, nodes[0].refusalOf(deadly), case.name)
        }
    }

    /** Guards against a server whose ends are not noticed any more after one failed check. */
    @Test
    fun `breaks at a server are checked again after a check that failed`() {
        val server = startServer()
        val failures = ArrayDeque<Throwable>(listOf(IllegalArgumentException("URL")))
        val evidence = mutableListOf<CrashEvidence>()
        val quarantine = RequestQuarantine(
            hasEnded = { failures.removeFirstOrNull()?.let { failure -> throw failure } ?: true },
            schedule = { _, task -> runCatching(task) },
            share = evidence::add,
            now = clock::now
        )
        quarantine.onBroken(RequestContent(listOf("d"), "p1"), server, begun = true)
        assertEquals(0, evidence.size)
        quarantine.onBroken(RequestContent(listOf("d"), "p2"), server, begun = true)
        assertEquals(listOf("p2"), evidence.map { it.request })
    }

    /** Guards against a write for each request that waited at a server which ended. */
    @Test
    fun `a request that was answered soon after its server ended is not shared`() {
        val known = listOf("f")
        nodes[0].onAnswered(RequestContent(known, "other"))
        val waiting = List(20) { RequestContent(known, "p$it") }
        val server = startServer().also { ended += it }
        for (prompt in waiting) nodes[0].onBroken(prompt, server, begun = false)
        advance(500.milliseconds)
        for (prompt in waiting.drop(1)) nodes[0].onAnswered(prompt)
        advance(5.seconds)
        assertEquals(setOf("p0"), stored.keys)
        assertEquals(1, shares)
    }

    private data class SoundCase(
        val name: String,
        val servers: List<String>,
        val begun: Boolean = true,
        val answeredBefore: Boolean = false,
        val answeredLater: Boolean = false,
        val withheld: Boolean
    )

    /** Guards against sound requests that are withheld because they met crashes. */
    @Test
    fun `a request is blamed only for crashes that nothing else explains`() {
        val cases = listOf(
            SoundCase("met one crash", listOf("s1"), withheld = false),
            SoundCase("went along with the deadly one", listOf("s1", "s2"), withheld = false),
            SoundCase("waited twice", listOf("t1", "t2"), begun = false, withheld = false),
            SoundCase("ended two servers", listOf("t1", "t2"), withheld = true),
            SoundCase(
                "ended three servers",
                listOf("t1", "t2", "t3"),
                begun = false,
                withheld = true
            ),
            SoundCase(
                "was answered before",
                listOf("t1", "t2", "t3"),
                answeredBefore = true,
                withheld = false
            ),
            SoundCase(
                "was answered later by another node",
                listOf("t1", "t2", "t3"),
                answeredLater = true,
                withheld = false
            )
        )
        for (case in cases) {
            stored.clear()
            nodes.indices.forEach { nodes[it] = startNode(Random(it)) }
            val deadly = RequestContent(listOf("f"), "deadly")
            val sound = RequestContent(listOf("f"), "sound")
            nodes[0].onAnswered(RequestContent(listOf("f"), "other"))
            if (case.answeredBefore) nodes[0].onAnswered(sound)
            for (id in listOf("s1", "s2", "s3", "t1", "t2", "t3")) {
                val server = modelServer(id, "a", "large").also { ended += it }
                if (id.startsWith("s")) nodes[0].onBroken(deadly, server, begun = true)
                if (id in case.servers) nodes[0].onBroken(sound, server, case.begun)
            }
            advance(2.seconds)
            if (case.answeredLater) nodes[1].onAnswered(sound)
            advance(3.seconds)
            assertEquals(case.withheld, nodes[0].blocks(sound), case.name)
            assertTrue(nodes[0].blocks(deadly), case.name)
            ended.clear()
        }
    }

    /** Guards against nodes that forget a blocked part, or clear it, because the store went back. */
    @Test
    fun `evidence lost by the store counts on and is stored again`() {
        val deadly = listOf("f1", "d")
        repeat(3) {
            send(nodes[it], RequestContent(deadly, "p$it"), crashes = true)
            advance(1.seconds)
        }
        val lost = stored.values.toList()
        val (blocked, sound) = RequestContent(deadly, "p9") to RequestContent(listOf("f2"), "p10")
        stored.clear()
        nodes.forEach { it.keep(lost) }
        nodes.forEach { it.update(stored.values) }
        assertTrue(nodes.all { it.blocks(blocked) && !it.blocks(sound) })
        advance(2.seconds)
        val starting = startNode(Random(7)).also { it.update(stored.values) }
        assertTrue(starting.blocks(blocked))
    }

    /** Guards against a sound request that is withheld although a node has its answer. */
    @Test
    fun `an answer to a request clears it, whichever node has it`() {
        clearers = { it == 0 }
        nodes.indices.forEach { nodes[it] = startNode(Random(it), it) }
        val sound = RequestContent(listOf("f"), "sound")
        val answering = nodes[5]
        answering.onAnswered(sound)
        for (node in nodes.take(3)) {
            node.onAnswered(RequestContent(listOf("f"), "other"))
            val server = startServer().also { ended += it }
            node.onBroken(sound, server, begun = false)
        }
        advance(5.seconds)
        assertEquals(emptyList(), nodes.filter { it.blocks(sound) })
    }
}
