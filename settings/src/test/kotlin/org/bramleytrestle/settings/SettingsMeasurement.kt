package org.bramleytrestle.settings

import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put

private const val ROUNDS = 40
private const val NANOS_PER_MICRO = 1_000

/** Prints the heap usage and the time per change of settings trees of several sizes. */
public fun main() {
    for (organisations in listOf(10, 400, 3_700)) {
        val before = usedHeap()
        val state = checkNotNull(SettingsState.of(1, tree(organisations)).get())
        val heap = usedHeap() - before
        val micros = (1..ROUNDS).map { i ->
            val patch = Json.parseToJsonElement("""{"defaults":{"maxTokens":$i}}""").jsonObject
            val start = System.nanoTime()
            checkNotNull(state.patched(patch).get())
            (System.nanoTime() - start) / NANOS_PER_MICRO
        }.sorted()
        val line = buildJsonObject {
            put("organisations", organisations)
            put("heapBytes", heap)
            put("documentBytes", state.tree.toString().length)
            put("changeMicrosMedian", micros[ROUNDS / 2])
            put("changeMicrosMax", micros.last())
        }
        println(line)
    }
}

private fun tree(organisations: Int): JsonObject {
    val settings = """{"overrides":{"weight":2.0,"tokensPerSecond":4000},"services":""" +
        """{"reports":{"overrides":{"newShare":0.3}},"orders":{"overrides":{"operations":""" +
        """{"POST /orders":"never"}}}}}"""
    val names = (1..organisations).joinToString(",") { """"organisation-$it":$settings""" }
    return Json.parseToJsonElement("""{"organisations":{$names}}""").jsonObject
}

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
