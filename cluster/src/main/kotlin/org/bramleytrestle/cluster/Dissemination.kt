package org.bramleytrestle.cluster

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/**
 * Disseminates settings changes by gossip: each member pushes a change to a few others when
 * it first receives it. A member that learns of a higher revision requests the changes it lacks,
 * which repairs lost pushes.
 *
 * @param fanOut addresses to which this member forwards a new change.
 */
internal class Dissemination(
    private val listener: ClusterListener,
    private val sender: Sender,
    private val fanOut: () -> Collection<String>
) {
    private class PendingRequest(val to: String, val revision: Long, var deadline: Long)
    private class StateAssembly(val from: String, val revision: Long, parts: Int) {
        val parts = arrayOfNulls<ByteArray>(parts)
    }

    private var request: PendingRequest? = null
    private var assembly: StateAssembly? = null
    private var lastPushedRevision = listener.settings().revision
    private var replayFailedAt = NO_REVISION
    private var compressed: Pair<Long, ByteArray>? = null

    val revision: Long get() = listener.settings().revision

    /** Forwards each change once, whether it came from the platform or from a peer. */
    fun push(changes: List<Change>, exclude: String? = null) {
        val newChanges = changes.filter { it.revision in (lastPushedRevision + 1)..revision }
        if (newChanges.isEmpty()) return
        lastPushedRevision = newChanges.last().revision
        val wireChanges = newChanges.map { it.toWire() }
        val fitsPush = wireChanges.sumOf { it.patch.length } <= MAX_PUSHED_CHARS
        for (address in fanOut()) {
            if (address == exclude) continue
            // For large changes only the revision is sent, so that a member fetches them only once.
            sender.sendBody(address, Delivery.RETAINED) {
                if (fitsPush) ChangePush(it, wireChanges) else Updates(it)
            }
        }
    }

    /** Requests the missing changes or the full state from [from] if its revision is higher. */
    fun onRevision(from: String, peerRevision: Long, now: Long) {
        val ownRevision = revision
        if (peerRevision <= ownRevision) return
        val pending = request
        if (pending != null && now < pending.deadline && pending.revision > ownRevision) return
        request = PendingRequest(from, peerRevision, now + REQUEST_TIMEOUT_MILLIS)
        val needsState = ownRevision == 0L ||
            peerRevision - ownRevision > MAX_REPLAYED_CHANGES || replayFailedAt == ownRevision
        sender.sendBody(from, Delivery.RETAINED) {
            if (needsState) StateRequest(it) else ChangeRequest(it)
        }
    }

    fun onPush(from: String, message: ChangePush) {
        val before = revision
        val changes = message.changes.map { it.toChange() }.filter { it.revision > before }
        if (changes.isNotEmpty()) listener.onChanges(changes)
        if (request?.to == from) {
            if (revision == before && message.exchange.revision > before) replayFailedAt = before
            request = null
        }
        push(changes, exclude = from)
    }

    fun onChangeRequest(from: String, after: Long) {
        val changes = if (after < revision) listener.changesAfter(after) else return
        val first = changes?.firstOrNull()
        val contiguous = first != null && first.revision == after + 1
        if (!contiguous) return sendState(from, after)
        val wireChanges = ArrayList<WireChange>()
        var size = 0
        for (change in changes) {
            val next = change.toWire()
            size += next.patch.length * MAX_BYTES_PER_CHAR
            if (size > MAX_RESPONSE_BYTES) break
            wireChanges += next
        }
        if (wireChanges.isEmpty()) return sendState(from, after)
        sender.sendBody(from, Delivery.RETAINED) { ChangePush(it, wireChanges) }
    }

    fun sendState(to: String, after: Long) {
        val state = listener.settings()
        if (state.revision <= after) return
        val bytes = compressed(state)
        val parts = (bytes.size + PART_BYTES - 1) / PART_BYTES
        for (part in 0 until parts) {
            val from = part * PART_BYTES
            val chunk = bytes.copyOfRange(from, minOf(bytes.size, from + PART_BYTES))
            sender.sendBody(to, Delivery.RETAINED) {
                StateTransfer(it, state.revision, part, parts, chunk)
            }
        }
    }

    fun onState(from: String, message: StateTransfer, now: Long) {
        if (message.revision <= revision || message.parts !in 1..MAX_PARTS) return
        if (message.part !in 0 until message.parts) return
        val matching = assembly?.takeIf {
            it.from == from && it.revision == message.revision && it.parts.size == message.parts
        }
        val current = matching ?: StateAssembly(from, message.revision, message.parts)
        assembly = current
        current.parts[message.part] = message.bytes
        request?.deadline = now + REQUEST_TIMEOUT_MILLIS
        if (current.parts.any { it == null }) return
        assembly = null
        request = null
        apply(current)
    }

    private fun apply(assembly: StateAssembly) {
        val decoded = runCatching {
            val bytes = ByteArrayOutputStream()
            assembly.parts.forEach { bytes.write(checkNotNull(it)) }
            val text = InflaterInputStream(ByteArrayInputStream(bytes.toByteArray()))
                .use { it.readNBytes(MAX_STATE_BYTES) }.decodeToString()
            Json.parseToJsonElement(text) as JsonObject
        }
        val tree = decoded.getOrElse {
            log.warn { "cluster: cannot decode state from ${assembly.from}: ${it.message}" }
            return
        }
        SettingsState.of(assembly.revision, tree)
            .onSuccess {
                if (it.revision > revision) listener.onState(it)
                lastPushedRevision = maxOf(lastPushedRevision, revision)
            }
            .onFailure { errors ->
                log.warn { "cluster: invalid state from ${assembly.from}: ${errors.first()}" }
            }
    }

    private fun compressed(state: SettingsState): ByteArray {
        compressed?.let { (revision, bytes) -> if (revision == state.revision) return bytes }
        val out = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(out, deflater).use {
            it.write(state.tree.toString().encodeToByteArray())
        }
        deflater.end()
        return out.toByteArray().also { compressed = state.revision to it }
    }

    private fun Change.toWire() =
        WireChange(revision, changeId, author, reason, timeMillis, patch.toString())

    private fun WireChange.toChange() = Change(
        revision,
        changeId,
        author,
        reason,
        timeMillis,
        Json.parseToJsonElement(patch) as JsonObject
    )

    private companion object {
        private val log = KotlinLogging.logger {}

        const val NO_REVISION = -1L
        const val REQUEST_TIMEOUT_MILLIS = 1_000L

        /** With more missing changes than this, the full state is smaller than the changes. */
        const val MAX_REPLAYED_CHANGES = 500L

        /** Limit for the total patch length of a push, in characters. */
        const val MAX_PUSHED_CHARS = 8 * 1024
        const val MAX_BYTES_PER_CHAR = 3
        const val MAX_RESPONSE_BYTES = 768 * 1024
        const val PART_BYTES = 256 * 1024
        const val MAX_PARTS = 256
        const val MAX_STATE_BYTES = 256 * 1024 * 1024
    }
}
