package org.bramleytrestle.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList

@OptIn(ExperimentalCoroutinesApi::class)
class StoreFollowerTest {
    /** A store whose single object counts up, and nodes of one data centre on virtual time. */
    private class Centre(private val scope: TestScope, size: Int) {
        val storeVersion: Long get() = 1 + scope.currentTime / 1_000
        var storeDown = false
        val cutFromStore = mutableSetOf<String>()
        val paused = mutableSetOf<String>()
        val dead = mutableSetOf<String>()

        /** Nodes that reach the store and get no answers from other nodes. */
        val cutFromNodes = mutableSetOf<String>()

        /** Nodes whose next call to the store goes to a connection that has become silent. */
        val silentToStore = mutableSetOf<String>()
        val nodes: List<Node> = (1..size).map { Node("n$it") }
        var calls = 0

        fun moment() = Moment(scope.currentTime * 1_000_000, scope.currentTime)

        inner class Node(val name: String) {
            var version = 0L
            val copy: KindCopy = KindCopy(
                "k",
                onList = { version = it.version },
                onBatch = { version = it.version },
                now = ::moment
            )
            val follower: StoreFollower = StoreFollower(
                InstanceId(name),
                listOf(copy),
                candidates = { nodes.filter { it.name !in dead }.map { InstanceId(it.name) } },
                ask = { to, question ->
                    delay(2.milliseconds)
                    val node = nodes.single { it.name == to.value }
                    if (name in cutFromNodes || to.value in cutFromNodes) awaitCancellation()
                    if (to.value in paused || to.value in dead) awaitCancellation()
                    node.follower.answer(InstanceId(name), question)
                },
                readStore = { readStore() },
                storeAnswers = { call() != null },
                now = ::moment,
                random = Random(1)
            )

            private suspend fun call(): Long? {
                calls++
                if (silentToStore.remove(name)) {
                    delay(CALL_TIMEOUT)
                    return null
                }
                return storeVersion.takeUnless { storeDown || name in cutFromStore }
            }

            var failNextRead = false

            private suspend fun readStore() {
                while (true) {
                    if (failNextRead) {
                        failNextRead = false
                        error("cannot read")
                    }
                    val sentAt = moment()
                    val found = if (name in paused) null else call()
                    if (found == null) {
                        copy.failed()
                    } else {
                        val item = StoredObject("k", "x", found, JsonPrimitive(found))
                        copy.list(StoredObjectList(found, listOf(item)))
                        copy.confirm(sentAt)
                    }
                    delay(500.milliseconds)
                }
            }

            fun start() {
                scope.backgroundScope.launch { follower.run() }
            }
        }

        fun start() = nodes.forEach { it.start() }

        fun readers() = nodes.filter { it.follower.reads }.map { it.name }

        /** Longest time within [span] for which [node] had a version older than the store's. */
        suspend fun worstDelay(span: Duration, node: Node): Duration {
            var worst = Duration.ZERO
            repeat((span / 10.milliseconds).toInt()) {
                delay(10.milliseconds)
                val nextVersionAt = node.version * 1_000
                worst = maxOf(worst, (scope.currentTime - nextVersionAt).milliseconds)
            }
            return worst
        }

        /** Greatest number of versions by which a node was behind during [span]. */
        suspend fun worstLag(span: Duration, of: List<Node> = nodes): Long {
            var worst = 0L
            repeat((span / 50.milliseconds).toInt()) {
                delay(50.milliseconds)
                worst = maxOf(worst, of.maxOf { storeVersion - it.version })
            }
            return worst
        }
    }

    private companion object {
        /** Time limit of a call to the store. */
        val CALL_TIMEOUT = 800.milliseconds
    }

    private fun centre(size: Int = 8, test: suspend Centre.() -> Unit) = runTest {
        Centre(this, size).apply {
            start()
            delay(6.seconds)
            test()
        }
    }

    @Test
    fun `two nodes read the store and the others follow them within a second`() = centre {
        assertEquals(listOf("n1", "n2"), readers())
        val before = calls
        assertTrue(worstLag(10.seconds) <= 1)
        assertTrue(calls - before <= 2 * 21, "${calls - before} calls in 10 s")
    }

    @Test
    fun `a data centre with few nodes reads without following, so that no step is added`() =
        centre(size = 3) { assertEquals(listOf("n1", "n2", "n3"), readers()) }

    /** Failures of the first reader, or of both, which followers must notice within 3 s. */
    private val failures: Map<String, Centre.(String) -> Unit> = mapOf(
        "killed" to { dead += it },
        "paused" to { paused += it },
        "cut off from the store" to { cutFromStore += it }
    )

    @Test
    fun `a reader that fails in any way leaves no follower more than 3 s behind`() {
        for ((name, fail) in failures) {
            for (count in 1..2) {
                centre {
                    val failed = readers().take(count)
                    failed.forEach { fail(it) }
                    val rest = nodes.filter { it.name !in failed }
                    assertTrue(worstLag(8.seconds, rest) <= 3, "$count readers $name")
                }
            }
        }
    }

    private data class Loss(
        val name: String,
        val limit: Duration,
        val strike: Centre.(follower: String) -> Unit
    )

    /**
     * Ways in which a follower loses its sources while it reaches the store, with the time in which
     * it must have each version: the propagation time, or the stable window where its connection to
     * the store is disturbed too.
     */
    private val losses = listOf(
        Loss("cut off from all nodes", 2.seconds) { cutFromNodes += it },
        Loss("both readers cut off from all nodes", 2.seconds) { cutFromNodes += readers() },
        Loss("one reader cut off from the store, the other one paused", 2.seconds) {
            val (first, second) = readers()
            cutFromStore += first
            paused += second
        },
        Loss("all connections silent", 3.seconds) {
            cutFromNodes += it
            silentToStore += it
        }
    )

    /** Guards against a configuration that is in force too late at a node that can read it. */
    @Test
    fun `a follower that loses its sources has each version in the propagation time`() {
        for (loss in losses) {
            for (phase in 0 until 20) {
                centre {
                    delay(50.milliseconds * phase)
                    val follower = nodes.last()
                    loss.strike(this, follower.name)
                    val worst = worstDelay(8.seconds, follower)
                    assertTrue(worst < loss.limit, "${loss.name}, phase $phase: $worst")
                }
            }
        }
    }

    @Test
    fun `an outage of the store costs few calls and followers return to their readers`() = centre {
        storeDown = true
        val before = calls
        delay(10.seconds)
        val followers = nodes.size - 2
        assertTrue(calls - before <= 2 * 21 + followers * 8, "${calls - before} calls")
        storeDown = false
        delay(8.seconds)
        assertEquals(listOf("n1", "n2"), readers())
        assertTrue(worstLag(3.seconds) <= 1)
    }

    @Test
    fun `a source that was paused confirms nothing of the time of its pause`() = centre {
        paused += listOf("n1", "n2")
        cutFromStore += nodes.map { it.name }
        delay(5.seconds)
        val age = checkNotNull(nodes[5].copy.age)
        assertTrue(age >= 4.5.seconds, "age $age")
        paused.clear()
        delay(1.seconds)
        assertTrue(checkNotNull(nodes[5].copy.age) >= 5.5.seconds)
    }

    @Test
    fun `a reader whose reading fails unexpectedly starts it again`() = centre {
        nodes[0].failNextRead = true
        assertTrue(worstLag(5.seconds) <= 2)
    }

    @Test
    fun `a question that cannot be read gets no answer`() = centre {
        assertNull(nodes[0].follower.answer(InstanceId("n2"), byteArrayOf(1, 2, 3)))
    }
}
