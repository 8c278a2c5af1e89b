package org.bramleytrestle.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.bramleytrestle.model.InstanceId

class PrefixCacheIndexTest {
    private val engine = InstanceId("e1")

    private fun stored(sequence: Long, prefix: Long) = PrefixEvent(sequence, prefix, true)
    private fun evicted(sequence: Long, prefix: Long) = PrefixEvent(sequence, prefix, false)

    @Test
    fun `events give the prefixes that an instance holds`() {
        val cases = mapOf(
            listOf(stored(1, 10), stored(2, 20)) to setOf(10L, 20L),
            listOf(stored(1, 10), evicted(2, 10)) to emptySet(),
            listOf(stored(1, 10), stored(1, 10), stored(2, 20)) to setOf(10L, 20L),
            // A gap may hide the eviction of 10.
            listOf(stored(1, 10), stored(3, 30)) to setOf(30L),
            // A restarted engine has an empty cache and counts from the start.
            listOf(stored(1, 10), stored(2, 20), stored(1, 30)) to setOf(30L),
            listOf(stored(7, 10), stored(8, 20)) to setOf(10L, 20L)
        )
        cases.forEach { (events, held) ->
            val index = PrefixCacheIndex()
            index.apply(engine, events)
            val indexed = (0L..40L).filter { index.hints().holders(it) == listOf(engine) }.toSet()
            assertEquals(held, indexed, "$events")
        }
    }

    @Test
    fun `a full index drops the oldest and unknown instances leave it`() {
        val index = PrefixCacheIndex(capacity = 3)
        index.apply(engine, (1L..4L).map { stored(it, it) })
        index.apply(InstanceId("e2"), listOf(stored(1, 4)))
        assertEquals(listOf(0, 0, 1, 2), (1L..4L).map { index.hints().holders(it).size })
        index.retain(setOf(InstanceId("e2")))
        assertEquals(listOf(0, 0, 0, 1), (1L..4L).map { index.hints().holders(it).size })
    }

    @Test
    fun `a cached prefix attracts work until its server has a longer queue`() {
        val servers = List(60) { engine("e$it", 0..31) }
        val index = PrefixCacheIndex().apply { apply(engine, listOf(stored(1, 99))) }
        val planner = DefaultChainPlanner(hints = index::hints, random = Random(1))
        val prefixQuery = query().copy(promptTokens = 2_000, prefixHash = 99)
        planner.publish(snapshot(servers))
        repeat(20) { assertEquals(listOf("e1"), planner.choose(prefixQuery)!!.ids()) }
        val chosen = (0..<20).map {
            planner.choose(prefixQuery.copy(excluded = setOf(engine)))!!.ids()
        }
        assertEquals(0, chosen.count { listOf("e1") == it })
        val reports = servers.map {
            report(it.id.value, queueMicros = if (it.id == engine) 900_000 else 0, sequence = 2)
        }
        planner.publish(snapshot(servers, reports))
        assertEquals(0, (0..<20).count { listOf("e1") == planner.choose(prefixQuery)!!.ids() })
    }
}
