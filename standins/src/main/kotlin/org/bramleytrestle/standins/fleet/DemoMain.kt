package org.bramleytrestle.standins.fleet

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.bramleytrestle.model.LayerRange

private const val LAYERS = 12
private const val ORGANISATION = "lab-a"
private val json = "application/json".toMediaType()
private val client = OkHttpClient()

/** Starts a small fleet of processes and sends one completion and one booking through it. */
public fun main(args: Array<String>) {
    val home = Path.of(args.firstOrNull() ?: ".").toAbsolutePath().normalize()
    val workDirectory = Files.createTempDirectory("bramleytrestle-demo")
    println("logs and settings files: $workDirectory")
    FleetLauncher(home, workDirectory).use { demo(it, home) }
    exitProcess(0)
}

private fun demo(fleet: FleetLauncher, home: Path) {
    fleet.startPlatform()
    startBackendServers(fleet)
    fleet.startNode("node-1", "dc1")
    fleet.startNode("node-2", "dc2")
    val file = "${home.resolve("examples/settings.yaml")}"
    val (exit, output) =
        fleet.bramleyctl("node-1", "apply", "--reason", "example settings", "--wait", file)
    print("bramleyctl apply: $output")
    check(exit == 0) { "bramleyctl apply ended with $exit" }
    val entry = entry(fleet)
    println("entry for $ORGANISATION: $entry")
    println("completion: ${completion(entry)}")
    println("booking: ${booking(entry)}")
}

private fun startBackendServers(fleet: FleetLauncher) {
    val ranges = listOf(LayerRange(0, 4), LayerRange(4, 8), LayerRange(8, 12))
    ranges.forEachIndexed { i, layers ->
        fleet.startEngine(EngineSpec("new-$i", "drafter-new", "drafter", layers, LAYERS))
    }
    fleet.startEngine(EngineSpec("old-0", "drafter-old", "drafter", LayerRange(0, 6), LAYERS))
    fleet.startEngine(EngineSpec("old-1", "drafter-old", "drafter", LayerRange(6, 12), LAYERS))
    fleet.startService("booking-1", "booking", "dc1")
}

/** Returns the first entry address for callers of the organisation. */
private fun entry(fleet: FleetLauncher): String {
    val url = "${fleet.callerUrl("node-1")}/v1/entries?organisation=$ORGANISATION"
    val entries = fleet.http.get(url).jsonObject.getValue("entries").jsonArray
    return entries.first().jsonObject.getValue("address").jsonPrimitive.content
}

private fun completion(entry: String): String {
    val body = """{"model":"drafter","stream":true,"max_tokens":16,
        |"messages":[{"role":"user","content":"Summarise the scan of slide 17"}]}
    """.trimMargin()
    val request = Request.Builder().url("$entry/v1/chat/completions")
        .header("X-Organisation", ORGANISATION)
        .post(body.toRequestBody(json)).build()
    return client.newCall(request).execute().use { response ->
        val text = response.body.string()
        check(response.isSuccessful && "[DONE]" in text) { "status ${response.code}: $text" }
        Regex("\"content\":\"([^\"]*)\"").findAll(text).joinToString("") { it.groupValues[1] }
    }
}

private fun booking(entry: String): String {
    val request = Request.Builder().url("$entry/services/booking/bookings")
        .header("X-Organisation", ORGANISATION)
        .header("Idempotency-Key", "demo-1")
        .post("""{"bookingId":"demo-1","slot":"09:00"}""".toRequestBody(json)).build()
    return client.newCall(request).execute().use { response ->
        val text = response.body.string()
        check(response.isSuccessful) { "status ${response.code}: $text" }
        text
    }
}
