package org.bramleytrestle.ctl

import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bramleytrestle.settings.Change

/** Sends a change, again with the same id if the answer is lost, and waits until it is in force. */
internal class ChangeSender(private val api: NodeApi) {
    fun send(baseRevision: Long, reason: String, patch: JsonObject): Change {
        val changeId = UUID.randomUUID().toString()
        var lost: CommandFailure? = null
        repeat(SEND_ATTEMPTS) {
            try {
                return api.change(baseRevision, changeId, reason, patch)
            } catch (e: CommandFailure) {
                if (e.exit != ExitCode.UNREACHABLE) throw e
                lost = e
                Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
            }
        }
        throw CommandFailure(
            ExitCode.UNREACHABLE,
            "change $changeId may have been accepted, see 'bramleyctl history': ${lost?.message}"
        )
    }

    /** Waits until every live node has [revision] in force. */
    fun await(revision: Long, timeoutSeconds: Int) {
        val start = TimeSource.Monotonic.markNow()
        var behind = emptyList<String>()
        while (start.elapsedNow() < timeoutSeconds.seconds) {
            behind = membersBehind(revision)
            if (behind.isEmpty()) return
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
        throw CommandFailure(
            ExitCode.WAIT_EXPIRED,
            "revision $revision is accepted but not in force on ${behind.joinToString()}"
        )
    }

    private fun membersBehind(revision: Long): List<String> {
        val members = api.status().getValue("members") as JsonArray
        return members.map { it.jsonObject }
            .filter { it.text("state") in LIVE }
            .filter { it.getValue("appliedRevision").jsonPrimitive.long < revision }
            .map { it.text("instance") }
    }

    private fun JsonObject.text(key: String) = getValue(key).jsonPrimitive.content

    private companion object {
        const val SEND_ATTEMPTS = 3
        val RETRY_DELAY = 500.milliseconds
        val POLL_INTERVAL = 100.milliseconds
        val LIVE = setOf("ALIVE", "SUSPECT", "LEAVING")
    }
}
