package org.bramleytrestle.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive

class InstanceListTest {
    private fun FakeObjectStore.instance(id: String) {
        val text = """{"id":"$id","role":"engine","address":"http://127.0.0.1:1",""" +
            """"dataCentre":"a","added":"later"}"""
        put("instances", id, Json.parseToJsonElement(text))
    }

    // Guards against an empty list during an outage, and against an invalid entry hiding others.
    @Test
    fun `the last successful list stays in use and invalid entries are skipped`() = runTest {
        val store = FakeObjectStore()
        val list = InstanceList(store)
        fun ids() = list.instances.value.map { it.id.value }
        store.instance("e1")
        store.put("instances", "bad", JsonPrimitive("no object"))
        val job = launch { list.run() }
        delay(1.seconds)
        assertEquals(listOf("e1"), ids())
        store.down = true
        delay(5.minutes)
        assertEquals(listOf("e1"), ids())
        store.instance("e2")
        store.down = false
        delay(40.seconds)
        assertEquals(listOf("e1", "e2"), ids())
        store.expireNextWatch = true
        store.delete("instances", "e1", store.stored("instances", "e1")!!.version)
        delay(40.seconds)
        assertEquals(listOf("e2"), ids())
        job.cancel()
    }
}
