package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.JsonPrimitive
import org.bramleytrestle.store.StoredObject
import org.bramleytrestle.store.StoredObjectList
import org.bramleytrestle.store.WatchBatch
import org.bramleytrestle.store.WatchEvent

class KindCopyTest {
    private val clock = FakeClock()

    /** A copy and the values of the objects that its consumer knows. */
    private inner class Node {
        val values = sortedMapOf<String, String>()
        var graceLeft = 0.seconds
        val copy = KindCopy(
            "k",
            onList = { list ->
                values.clear()
                list.items.forEach { values[it.name] = it.value.toString() }
            },
            onBatch = { batch ->
                for ((item, deleted) in batch.events) {
                    if (deleted) values -= item.name else values[item.name] = item.value.toString()
                }
            },
            onRecovered = { graceLeft = it ?: 2.seconds },
            grace = { graceLeft },
            now = clock::now
        )

        fun follow(source: Node, askedAt: Moment = clock.now()) {
            val answer = checkNotNull(source.copy.answer(copy.version))
            val sent = RelayCodec.answer(
                RelayCodec.encode(RelayAnswer(listOf(answer)))
            ).kinds.single()
            copy.apply(sent, askedAt)
        }
    }

    private fun item(name: String, version: Long, value: Int = version.toInt()) =
        StoredObject("k", name, version, JsonPrimitive(value))

    private fun change(name: String, version: Long) = WatchEvent(item(name, version))

    private val reader = Node().apply {
        copy.list(StoredObjectList(10, listOf(item("a", 4), item("b", 9))))
        copy.confirm(clock.now())
    }
    private val follower = Node()

    @Test
    fun `a follower gets everything at first and then only what changed`() {
        follower.follow(reader)
        assertEquals(mapOf("a" to "4", "b" to "9"), follower.values.toMap())
        reader.copy.apply(WatchBatch(12, listOf(change("c", 12))))
        val answer = checkNotNull(reader.copy.answer(follower.copy.version))
        assertEquals(listOf("c"), answer.items.map { it.name })
        follower.follow(reader)
        assertEquals(reader.values, follower.values)
    }

    @Test
    fun `a removal reaches a follower although its event carries the object's last version`() {
        follower.follow(reader)
        reader.copy.apply(WatchBatch(11, emptyList()))
        follower.follow(reader)
        reader.copy.apply(WatchBatch(13, listOf(WatchEvent(item("a", 4), deleted = true))))
        follower.follow(reader)
        assertEquals(setOf("b"), follower.values.keys)
    }

    @Test
    fun `a source that lags behind brings nothing back that was removed or replaced`() {
        val lagging = Node()
        lagging.follow(reader)
        follower.follow(reader)
        reader.copy.apply(
            WatchBatch(14, listOf(WatchEvent(item("a", 4), deleted = true), change("b", 14)))
        )
        follower.follow(reader)
        follower.follow(lagging)
        follower.copy.list(StoredObjectList(10, listOf(item("a", 4))))
        assertEquals(mapOf("b" to "14"), follower.values.toMap())
    }

    @Test
    fun `a confirmation counts from the reader's own question to the store`() {
        clock.advance(2.seconds)
        val askedAt = clock.now()
        clock.advance(300.milliseconds)
        follower.follow(reader, askedAt)
        clock.advance(1.seconds)
        assertEquals(3_600.milliseconds, follower.copy.age)
    }

    @Test
    fun `an older confirmation does not replace a newer one`() {
        follower.follow(reader)
        clock.advance(1.seconds)
        follower.copy.confirm(clock.now())
        follower.copy.confirm(clock.now() + -1.seconds)
        assertEquals(0.seconds, follower.copy.age)
    }

    @Test
    fun `a source that knows less than the follower confirms nothing`() {
        follower.follow(reader)
        follower.copy.apply(WatchBatch(20, listOf(change("z", 20))))
        clock.advance(1.seconds)
        reader.copy.confirm(clock.now())
        follower.follow(reader)
        assertEquals(1.seconds, follower.copy.age)
    }

    @Test
    fun `a follower keeps entries that lapsed in an outage as long as its source does`() {
        follower.follow(reader)
        reader.copy.recovered()
        reader.copy.apply(WatchBatch(15, listOf(WatchEvent(item("a", 4), deleted = true))))
        follower.follow(reader)
        assertEquals(2.seconds, follower.graceLeft)
    }

    @Test
    fun `an object that was removed and created again is known to followers`() {
        follower.follow(reader)
        reader.copy.apply(
            WatchBatch(16, listOf(WatchEvent(item("a", 4), deleted = true), change("a", 16)))
        )
        follower.follow(reader)
        assertEquals("16", follower.values["a"])
    }

    @Test
    fun `a follower that missed more removals than are remembered gets a complete list`() {
        follower.follow(reader)
        for (number in 1L..1_500L) {
            reader.copy.apply(
                WatchBatch(
                    100 + 2 * number,
                    listOf(
                        change(
                            "x$number",
                            100 + 2 * number
                        )
                    )
                )
            )
            val gone = WatchEvent(item("x$number", 100 + 2 * number), deleted = true)
            reader.copy.apply(WatchBatch(101 + 2 * number, listOf(gone)))
        }
        assertEquals(true, reader.copy.answer(follower.copy.version)?.complete)
        follower.follow(reader)
        assertEquals(reader.values, follower.values)
    }

    @Serializable
    private class RevisionKind(
        val kind: String = "k",
        val version: Long,
        val ageMillis: Long? = 0,
        val failing: Boolean = false
    )

    @Serializable
    private class RevisionAnswer(val kinds: List<RevisionKind> = listOf(RevisionKind(version = 9)))

    /** Guards against copies that compare versions with revisions while a fleet is upgraded. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `an answer of a release whose versions are revisions cannot be read, nor the reverse`() {
        val old = Cbor { encodeDefaults = true }
        val bytes = old.encodeToByteArray(RevisionAnswer.serializer(), RevisionAnswer())
        assertFailsWith<SerializationException> { RelayCodec.answer(byteArrayOf(0) + bytes) }
        val answer = checkNotNull(reader.copy.answer(9))
        val sent = RelayCodec.encode(RelayAnswer(listOf(answer.copy(items = emptyList()))))
        val known = Cbor { ignoreUnknownKeys = true }
        assertFailsWith<SerializationException> {
            known.decodeFromByteArray(RevisionAnswer.serializer(), sent.drop(1).toByteArray())
        }
    }
}
