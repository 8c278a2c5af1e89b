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
 * Spreads settings changes: each member tells a few others when it first sees a change, and
 * whoever learns of a higher revision asks for what it lacks, so that a lost push is repaired.
 *
 * @param fanOut addresses to which this member passes a new change on.
 */
internal class Dissemination(
    private val listener: ClusterListener,
    private val sender: Sender,
    private val fanOut: () -> Collection<String>
) {
    private class Request(val to: String, val revision: Long, var deadline: Long)
    private class Assembly(val from: String, val revision: Long, parts: Int) {
        val parts = arrayOfNulls<ByteArray>(parts)
    }

    private var request: Request? = null
    private var assembly: Assembly? = null
    private var lastPushed = listener.settings().revision
    private var changesFailedAt = NEVER
    private var compressed: Pair<Long, ByteArray>? = null

    val revision: Long get() = listener.settings().revision

    /** Passes changes on once, whether they came from the platform or from a peer. */
    fun push(changes: List<Change>, except: String? = null) {
        val news = changes.filter { it.revision in (lastPushed + 1)..revision }
        if (news.isEmpty()) return
        lastPushed = news.last().revision
        val wire = news.map { it.toWire() }
        val small = wire.sumOf { it.patch.length } <= PUSH_LIMIT
        for (address in fanOut()) {
            if (address == except) continue
            // Large changes are only announced, so that a member loads them once.
            sender.sendBody(address, Delivery.KEPT) {
                if (small) ChangePush(it, wire) else Updates(it)
            }
        }
    }

    /** Asks [from] for what is missing here if it has a higher revision. */
    fun onRevision(from: String, peerRevision: Long, now: Long) {
        val mine = revision
        if (peerRevision <= mine) return
        val pending = request
        if (pending != null && now < pending.deadline && pending.revision > mine) return
        request = Request(from, peerRevision, now + REQUEST_TIMEOUT_MILLIS)
        val whole = mine == 0L || peerRevision - mine > MAX_REPLAY || changesFailedAt == mine
        sender.sendBody(from, Delivery.KEPT) { if (whole) StateRequest(it) else ChangeRequest(it) }
    }

    fun onPush(from: String, message: ChangePush) {
        val before = revision
        val changes = message.changes.map { it.toChange() }.filter { it.revision > before }
        if (changes.isNotEmpty()) listener.onChanges(changes)
        if (request?.to == from) {
            if (revision == before && message.exchange.revision > before) changesFailedAt = before
            request = null
        }
        push(changes, except = from)
    }

    fun onChangeRequest(from: String, after: Long) {
        val changes = if (after < revision) listener.changesAfter(after) else return
        val first = changes?.firstOrNull()
        val usable = first != null && first.revision == after + 1
        if (!usable) return sendState(from, after)
        val wire = ArrayList<WireChange>()
        var size = 0
        for (change in changes) {
            val next = change.toWire()
            size += next.patch.length * MAX_BYTES_PER_CHAR
            if (size > ANSWER_LIMIT) break
            wire += next
        }
        if (wire.isEmpty()) return sendState(from, after)
        sender.sendBody(from, Delivery.KEPT) { ChangePush(it, wire) }
    }

    fun sendState(to: String, after: Long) {
        val state = listener.settings()
        if (state.revision <= after) return
        val bytes = compressed(state)
        val parts = (bytes.size + PART_BYTES - 1) / PART_BYTES
        for (part in 0 until parts) {
            val from = part * PART_BYTES
            val chunk = bytes.copyOfRange(from, minOf(bytes.size, from + PART_BYTES))
            sender.sendBody(to, Delivery.KEPT) {
                StateTransfer(it, state.revision, part, parts, chunk)
            }
        }
    }

    fun onState(from: String, message: StateTransfer, now: Long) {
        if (message.revision <= revision || message.parts !in 1..MAX_PARTS) return
        if (message.part !in 0 until message.parts) return
        val present = assembly?.takeIf {
            it.from == from && it.revision == message.revision && it.parts.size == message.parts
        }
        val target = present ?: Assembly(from, message.revision, message.parts)
        assembly = target
        target.parts[message.part] = message.bytes
        request?.deadline = now + REQUEST_TIMEOUT_MILLIS
        if (target.parts.any { it == null }) return
        assembly = null
        request = null
        apply(target)
    }

    private fun apply(assembly: Assembly) {
        val decoded = runCatching {
            val bytes = ByteArrayOutputStream()
            assembly.parts.forEach { bytes.write(checkNotNull(it)) }
            val text = InflaterInputStream(ByteArrayInputStream(bytes.toByteArray()))
                .use { it.readNBytes(MAX_STATE_BYTES) }.decodeToString()
            Json.parseToJsonElement(text) as JsonObject
        }
        val tree = decoded.getOrElse {
            log.warn { "cluster: state from ${assembly.from} is unreadable: ${it.message}" }
            return
        }
        SettingsState.of(assembly.revision, tree)
            .onSuccess {
                if (it.revision > revision) listener.onState(it)
                lastPushed = maxOf(lastPushed, revision)
            }
            .onFailure { errors ->
                log.warn { "cluster: state from ${assembly.from} is invalid: ${errors.first()}" }
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

        const val NEVER = -1L
        const val REQUEST_TIMEOUT_MILLIS = 1_000L

        /** Above this many changes the whole state is smaller than the changes. */
        const val MAX_REPLAY = 500L

        /** Most patch characters that are sent unasked. */
        const val PUSH_LIMIT = 8 * 1024
        const val MAX_BYTES_PER_CHAR = 3
        const val ANSWER_LIMIT = 768 * 1024
        const val PART_BYTES = 256 * 1024
        const val MAX_PARTS = 256
        const val MAX_STATE_BYTES = 256 * 1024 * 1024
    }
}
