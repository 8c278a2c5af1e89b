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

/**
 * Sends a change, retries it with the same id if the response is lost, and waits until the change
 * is in effect.
 */
internal class ChangeSender(private val api: NodeApi) {
    fun send(baseRevision: Long, reason: String, patch: JsonObject): Change {
        val changeId = UUID.randomUUID().toString()
        var lastFailure: CommandFailure? = null
        repeat(SEND_ATTEMPTS) {
            try {
                return api.change(baseRevision, changeId, reason, patch)
            } catch (e: CommandFailure) {
                if (e.exit != ExitCode.UNREACHABLE) throw e
                lastFailure = e
                Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
            }
        }
        throw CommandFailure(
            ExitCode.UNREACHABLE,
            "change $changeId may have been accepted; check 'bramleyctl history': " +
                "${lastFailure?.message}"
        )
    }

    /** Waits until every live node has applied [revision]. */
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
            .filter { it.stringValue("state") in LIVE_STATES }
            .filter { it.getValue("appliedRevision").jsonPrimitive.long < revision }
            .map { it.stringValue("instance") }
    }

    private fun JsonObject.stringValue(key: String) = getValue(key).jsonPrimitive.content

    private companion object {
        const val SEND_ATTEMPTS = 3
        val RETRY_DELAY = 500.milliseconds
        val POLL_INTERVAL = 100.milliseconds
        val LIVE_STATES = setOf("ALIVE", "SUSPECT", "LEAVING")
    }
}
