package org.bramleytrestle.node.settings

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

private val log = KotlinLogging.logger {}

/**
 * The settings in force on this node. Readers take one atomic reference; writers only ever move
 * to a higher revision, so no read, restart or peer brings an older one back.
 *
 * @property onApplied called after each step with the changes that are new here.
 */
internal class SettingsHolder(private val onApplied: (List<Change>) -> Unit = {}) {
    private data class Held(val state: SettingsState, val recent: List<Change>)

    private val held = AtomicReference(Held(SettingsState.EMPTY, emptyList()))

    val state: SettingsState get() = held.get().state

    /** Recent changes after [revision], oldest first, or null when they are no longer kept. */
    fun changesAfter(revision: Long): List<Change>? {
        val (state, recent) = held.get()
        if (revision >= state.revision) return emptyList()
        val later = recent.filter { it.revision > revision }
        return later.takeIf { it.size.toLong() == state.revision - revision }
    }

    /** Applies those of [changes] that follow the revision in force, in order. */
    fun apply(changes: List<Change>) {
        val applied = synchronized(this) {
            changes.sortedBy { it.revision }.filter(::applyOne)
        }
        if (applied.isNotEmpty()) onApplied(applied)
    }

    /** Takes over a whole state if its revision is higher. */
    fun replace(next: SettingsState) {
        synchronized(this) {
            if (next.revision <= state.revision) return
            publish(Held(next, emptyList()))
        }
        onApplied(emptyList())
    }

    private fun applyOne(change: Change): Boolean {
        val (state, recent) = held.get()
        if (change.revision != state.revision + 1) return false
        val next = state.withChange(change).get()
        if (next == null) {
            log.error { "settings: accepted change ${change.revision} is invalid, not applied" }
            return false
        }
        publish(Held(next, (recent + change).takeLast(KEPT_CHANGES)))
        log.info { "settings: revision ${change.revision} in force (change ${change.changeId})" }
        return true
    }

    private fun publish(next: Held) {
        val before = held.getAndSet(next).state.revision
        Invariants.check("settings-never-revert", next.state.revision > before) {
            "revision ${next.state.revision} after $before"
        }
    }

    private companion object {
        // Peers that lag by more take the whole state instead.
        const val KEPT_CHANGES = 500
    }
}
