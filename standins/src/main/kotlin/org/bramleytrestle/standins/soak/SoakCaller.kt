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

/** A caller that sends requests sequentially and checks every response. */
internal class SoakCaller(
    private val number: Int,
    private val fleet: SoakFleet,
    private val results: SoakResults,
    private val random: Random
) : Runnable {
    private class Entry(val node: String, val address: String)

    private val client = SoakClient()
    private val organisation = "lab-${"ab"[number % 2]}"
    private var entries = emptyList<Entry>()
    private var fetchedAt: TimeMark? = null
    private var sent = 0

    @Volatile
    var stop = false

    override fun run() {
        while (!stop) {
            val entry = entry()
            if (entry == null) {
                Thread.sleep(NO_ENTRY_RETRY_MILLIS)
                continue
            }
            sent++
            results.count("requests")
            when (random.nextInt(REQUEST_KINDS)) {
                0 -> booking(entry)
                1 -> status(entry)
                else -> completion(entry, stream = random.nextBoolean())
            }
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    /** Returns a random entry; the entry list is fetched again after [SoakFleet.KEEP_SECONDS]. */
    private fun entry(): Entry? {
        val fresh = fetchedAt?.let { it.elapsedNow() < (SoakFleet.KEEP_SECONDS).seconds } ?: false
        if (!fresh || entries.isEmpty()) {
            val node = fleet.nodes.keys.filter { it !in fleet.faulty && it !in fleet.draining }
                .randomOrNull(random) ?: return null
            val requestedAt = TimeSource.Monotonic.markNow()
            entries = client.entries(fleet.launcher.callerUrl(node), organisation)
                .map { (id, address) -> Entry(id, address) }
            fetchedAt = requestedAt
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
        val tokens = if (random.nextInt(LONG_REQUEST_ONE_IN) == 0) LONG_TOKENS else SHORT_TOKENS
        val body = """{"model":"${SoakFleet.MODEL}","stream":$stream,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$text"}]}"""
        val process = fleet.nodes[entry.node]
        val reply = exchange(entry) {
            client.post("${entry.address}/v1/chat/completions", body, headers())
        }
        val killed = stream && reply.ok && DONE !in reply.body && wasStopped(entry.node, process)
        if (!reply.ok) return recordFailure(reply)
        val expected = ReferenceModel
            .answer("user: $text", SoakFleet.MODEL, "1", SoakFleet.LAYERS, tokens)
            .joinToString("") { it.text }
        if (stream) {
            checkStream(reply.body, expected, entry.node, killed)
        } else {
            checkCompletion(reply.body, expected)
        }
    }

    /**
     * Returns whether a stop of [process] explains a truncated stream. A stop by a drain is also
     * recorded as a violation.
     */
    private fun wasStopped(node: String, process: FleetProcess?): Boolean {
        if (node in fleet.draining && node !in fleet.faulty) {
            results.recordViolation("cutByDrain", "$node truncated a stream")
            return true
        }
        // The connection of a killed process closes shortly before its exit is visible.
        Thread.sleep(EXIT_DETECTION_MILLIS)
        return process?.alive != true
    }

    private fun checkStream(body: String, expected: String, node: String, killed: Boolean) {
        val text = CONTENT.findAll(body).joinToString("") { it.groupValues[1] }
        when {
            "event: error" in body ->
                recordUnknownOutcome(KIND.find(body)?.groupValues?.get(1) ?: "streamError")
            // A missing terminal event is expected if the node was killed, and the caller can
            // detect it. A node that is alive must not end a stream without one.
            DONE !in body && killed -> recordUnknownOutcome("nodeKilled")
            DONE !in body -> results.recordViolation(
                "truncatedAnswers",
                "$node is alive but truncated a stream after '${text.takeLast(SHOWN_CHARS)}'"
            )
            text != expected -> recordWrongAnswer(text, expected)
            else -> results.count("completed")
        }
        if ("event: error" in body && !expected.startsWith(text)) recordWrongAnswer(text, expected)
    }

    private fun checkCompletion(body: String, expected: String) {
        val choice = Json.parseToJsonElement(body).jsonObject.getValue("choices").jsonArray.first()
        val text = choice.jsonObject.getValue("message").jsonObject.getValue("content")
            .jsonPrimitive.content
        when {
            text == expected -> results.count("completed")
            expected.startsWith(text) ->
                results.recordViolation("truncatedAnswers", "answer without streaming: '$text'")
            else -> recordWrongAnswer(text, expected)
        }
    }

    private fun recordWrongAnswer(text: String, expected: String) =
        results.recordViolation("wrongAnswers", "got '$text', expected '$expected'")

    private fun booking(entry: Entry) {
        val id = "booking-$number-$sent"
        val key = "key-$id".takeIf { random.nextInt(NO_KEY_ONE_IN) != 0 }
        val body = """{"bookingId":"$id"}"""
        val first = exchange(entry) { book(entry, body, key) }
        checkBooking(id, first)
        if (key == null || random.nextInt(REPEAT_ONE_IN) != 0) return
        // Retries with the same key, possibly through another node.
        val other = entries.randomOrNull(random) ?: return
        results.count("requests")
        checkBooking(id, exchange(other) { book(other, body, key) }, retried = true)
    }

    private fun book(entry: Entry, body: String, key: String?) =
        client.post("${entry.address}/services/booking/bookings", body, headers(key))

    /** Checks a booking. A refusal as not executed is verified at the end of the run. */
    private fun checkBooking(id: String, reply: SoakClient.Reply, retried: Boolean = false) {
        when {
            !reply.ok -> {
                recordFailure(reply)
                if (reply.executed == "no" && !retried) fleet.refusedBookings += id
                if (reply.executed != "no" || retried) fleet.refusedBookings -= id
            }
            "\"$id\"" !in reply.body ->
                results.recordViolation("wrongAnswers", "booking $id got ${reply.body}")
            else -> {
                fleet.refusedBookings -= id
                fleet.confirmedBookings += id
                results.count("completed")
            }
        }
    }

    private fun status(entry: Entry) {
        val reply = exchange(entry) {
            client.get("${entry.address}/services/booking/status", headers())
        }
        if (reply.ok) results.count("completed") else recordFailure(reply)
    }

    private fun recordFailure(reply: SoakClient.Reply) {
        if (reply.executed == "no") {
            results.count("refusedNotRun")
            results.count(SoakResults.FAILURE_PREFIX + reply.kind)
        } else {
            recordUnknownOutcome(reply.kind ?: "connection")
        }
    }

    private fun recordUnknownOutcome(kind: String) {
        results.count("failedUnknown")
        results.count(SoakResults.FAILURE_PREFIX + kind)
    }

    /** Sends a request; records a broken connection or refusal if only a drain explains it. */
    private fun exchange(entry: Entry, send: () -> SoakClient.Reply): SoakClient.Reply {
        val node = fleet.nodes[entry.node]
        val listFetchedAt = fetchedAt
        val reply = send()
        val faulty = entry.node in fleet.faulty || fleet.nodes[entry.node] !== node
        val drained = entry.node in fleet.draining
        val refused = reply.broken || reply.kind == "leaving"
        if (refused && drained && !faulty) {
            results.recordViolation(
                "cutByDrain",
                "${entry.node}: ${reply.body}, entry list is ${listFetchedAt?.elapsedNow()} old"
            )
        }
        return reply
    }

    private companion object {
        const val REQUEST_KINDS = 5
        const val NO_ENTRY_RETRY_MILLIS = 100L
        const val MAX_PAUSE_MILLIS = 60L
        const val SHORT_TOKENS = 12
        const val LONG_TOKENS = 120
        const val LONG_REQUEST_ONE_IN = 8
        const val NO_KEY_ONE_IN = 4
        const val REPEAT_ONE_IN = 3
        const val SHOWN_CHARS = 20
        const val EXIT_DETECTION_MILLIS = 500L
        const val DONE = "data: [DONE]"
        val KIND = Regex("\"kind\":\"([^\"]*)\"")
        val CONTENT = Regex("\"content\":\"([^\"]*)\"")
    }
}
