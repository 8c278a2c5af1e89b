package org.bramleytrestle.standins.soak

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleytrestle.standins.engine.ReferenceModel
import org.bramleytrestle.standins.fleet.FleetProcess

/** One caller that sends requests one after another and checks every answer. */
internal class SoakCaller(
    private val number: Int,
    private val fleet: SoakFleet,
    private val tally: SoakTally,
    private val random: Random
) : Runnable {
    private class Entry(val node: String, val address: String)

    private val client = SoakClient()
    private val organisation = "lab-${"ab"[number % 2]}"
    private var entries = emptyList<Entry>()
    private var askedAt: TimeMark? = null
    private var sent = 0

    @Volatile
    var stop = false

    override fun run() {
        while (!stop) {
            val entry = entry()
            if (entry == null) {
                Thread.sleep(RETRY_MILLIS)
                continue
            }
            sent++
            tally.count("requests")
            when (random.nextInt(KINDS)) {
                0 -> booking(entry)
                1 -> status(entry)
                else -> completion(entry, stream = random.nextBoolean())
            }
            Thread.sleep(random.nextLong(PAUSE_MILLIS))
        }
    }

    /** An entry from an answer that may still be kept. */
    private fun entry(): Entry? {
        val fresh = askedAt?.let { it.elapsedNow() < (SoakFleet.KEEP_SECONDS).seconds } ?: false
        if (!fresh || entries.isEmpty()) {
            val node = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }
                .randomOrNull(random) ?: return null
            val asked = TimeSource.Monotonic.markNow()
            entries = client.entries(fleet.launcher.callers(node), organisation)
                .map { (id, address) -> Entry(id, address) }
            askedAt = asked
        }
        return entries.randomOrNull(random)
    }

    private fun headers(key: String? = null) = buildMap {
        put("X-Organisation", organisation)
        put("X-Caller-Key", "caller-$number")
        if (key != null) put("Idempotency-Key", key)
    }

    private fun completion(entry: Entry, stream: Boolean) {
        val text = "request $number $sent of ${random.nextInt()}"
        val tokens = if (random.nextInt(LONG_ONE_IN) == 0) LONG_TOKENS else SHORT_TOKENS
        val body = """{"model":"${SoakFleet.MODEL}","stream":$stream,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$text"}]}"""
        val process = fleet.nodes[entry.node]
        val reply = exchange(entry) {
            client.post("${entry.address}/v1/chat/completions", body, headers())
        }
        val killed = stream && reply.ok && DONE !in reply.body && killed(entry.node, process)
        if (!reply.ok) return failed(reply)
        val expected = ReferenceModel
            .answer("user: $text", SoakFleet.MODEL, "1", SoakFleet.LAYERS, tokens)
            .joinToString("") { it.text }
        if (stream) {
            streamed(
                reply.body,
                expected,
                entry.node,
                killed
            )
        } else {
            whole(reply.body, expected)
        }
    }

    /** Whether [process], which served a stream that broke off, was killed by a fault. */
    private fun killed(node: String, process: FleetProcess?): Boolean {
        if (node in fleet.draining && node !in fleet.faulty) {
            tally.violation("cutByDrain", "$node broke off a stream")
            return true
        }
        // The connection of a killed process ends shortly before its exit can be seen.
        Thread.sleep(EXIT_SEEN_MILLIS)
        return process?.alive != true
    }

    private fun streamed(body: String, expected: String, node: String, killed: Boolean) {
        val text = CONTENT.findAll(body).joinToString("") { it.groupValues[1] }
        when {
            "event: error" in body ->
                unknown(KIND.find(body)?.groupValues?.get(1) ?: "streamError")
            // The connection of a killed process ends without the terminal event, so the caller
            // can tell; only a living node must not end a stream so.
            DONE !in body && killed -> unknown("nodeKilled")
            DONE !in body -> tally.violation(
                "truncatedAnswers",
                "$node, alive, ended a stream after '${text.takeLast(SHOWN)}'"
            )
            text != expected -> wrong(text, expected)
            else -> tally.count("completed")
        }
        if ("event: error" in body && !expected.startsWith(text)) wrong(text, expected)
    }

    private fun whole(body: String, expected: String) {
        val choice = Json.parseToJsonElement(body).jsonObject.getValue("choices").jsonArray.first()
        val text = choice.jsonObject.getValue("message").jsonObject.getValue("content")
            .jsonPrimitive.content
        when {
            text == expected -> tally.count("completed")
            expected.startsWith(text) -> tally.violation("truncatedAnswers", "whole: '$text'")
            else -> wrong(text, expected)
        }
    }

    private fun wrong(text: String, expected: String) =
        tally.violation("wrongAnswers", "got '$text', expected '$expected'")

    private fun booking(entry: Entry) {
        val id = "booking-$number-$sent"
        val key = "key-$id".takeIf { random.nextInt(KEYLESS_ONE_IN) != 0 }
        val body = """{"bookingId":"$id"}"""
        val first = exchange(entry) { book(entry, body, key) }
        judge(id, first)
        if (key == null || random.nextInt(REPEAT_ONE_IN) != 0) return
        // A caller repeats with the same key, through any node.
        val other = entries.randomOrNull(random) ?: return
        tally.count("requests")
        judge(id, exchange(other) { book(other, body, key) }, repeated = true)
    }

    private fun book(entry: Entry, body: String, key: String?) =
        client.post("${entry.address}/services/booking/bookings", body, headers(key))

    /** A refusal as not run is checked against the services once the run has ended. */
    private fun judge(id: String, reply: SoakClient.Reply, repeated: Boolean = false) {
        when {
            !reply.ok -> {
                failed(reply)
                if (reply.executed == "no" && !repeated) fleet.refusedBookings += id
                if (reply.executed != "no" || repeated) fleet.refusedBookings -= id
            }
            "\"$id\"" !in reply.body ->
                tally.violation("wrongAnswers", "booking $id got ${reply.body}")
            else -> {
                fleet.refusedBookings -= id
                fleet.confirmedBookings += id
                tally.count("completed")
            }
        }
    }

    private fun status(entry: Entry) {
        val reply = exchange(entry) {
            client.get("${entry.address}/services/booking/status", headers())
        }
        if (reply.ok) tally.count("completed") else failed(reply)
    }

    private fun failed(reply: SoakClient.Reply) {
        if (reply.executed == "no") {
            tally.count("refusedNotRun")
            tally.count(SoakTally.FAILURE + reply.kind)
        } else {
            unknown(reply.kind ?: "connection")
        }
    }

    private fun unknown(kind: String) {
        tally.count("failedUnknown")
        tally.count(SoakTally.FAILURE + kind)
    }

    /** Attributes a broken connection or a refusal to a planned stop where one is under way. */
    private fun exchange(entry: Entry, send: () -> SoakClient.Reply): SoakClient.Reply {
        val node = fleet.nodes[entry.node]
        val kept = askedAt
        val reply = send()
        val faulty = entry.node in fleet.faulty || fleet.nodes[entry.node] !== node
        val drained = entry.node in fleet.draining
        val refused = reply.broken || reply.kind == "leaving"
        if (refused && drained && !faulty) {
            tally.violation(
                "cutByDrain",
                "${entry.node}: ${reply.body}, entries asked ${kept?.elapsedNow()} ago"
            )
        }
        return reply
    }

    private companion object {
        const val KINDS = 5
        const val RETRY_MILLIS = 100L
        const val PAUSE_MILLIS = 60L
        const val SHORT_TOKENS = 12
        const val LONG_TOKENS = 120
        const val LONG_ONE_IN = 8
        const val KEYLESS_ONE_IN = 4
        const val REPEAT_ONE_IN = 3
        const val SHOWN = 20
        const val EXIT_SEEN_MILLIS = 500L
        const val DONE = "data: [DONE]"
        val KIND = Regex("\"kind\":\"([^\"]*)\"")
        val CONTENT = Regex("\"content\":\"([^\"]*)\"")
    }
}
