package org.bramleytrestle.node.settings

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicReference
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

private val log = KotlinLogging.logger {}

/**
 * The settings in effect on this node. Readers load one atomic reference. Writers only replace it
 * by a higher revision, so that no stale read, restart or peer restores older settings.
 *
 * @property onApplied called after each update with the newly applied changes; the list is empty
 * when a full state was applied.
 */
internal class SettingsHolder(private val onApplied: (List<Change>) -> Unit = {}) {
    private data class AppliedSettings(val state: SettingsState, val recent: List<Change>)

    private val current = AtomicReference(AppliedSettings(SettingsState.EMPTY, emptyList()))

    val state: SettingsState get() = current.get().state

    /** Changes after [revision], oldest first, or null if they are no longer retained. */
    fun changesAfter(revision: Long): List<Change>? {
        val (state, recent) = current.get()
        if (revision >= state.revision) return emptyList()
        val later = recent.filter { it.revision > revision }
        return later.takeIf { it.size.toLong() == state.revision - revision }
    }

    /** Applies those of [changes] that directly follow the current revision, in order. */
    fun apply(changes: List<Change>) {
        val applied = synchronized(this) {
            changes.sortedBy { it.revision }.filter(::applyNext)
        }
        if (applied.isNotEmpty()) onApplied(applied)
    }

    /** Replaces the full state if the revision of [next] is higher. */
    fun replace(next: SettingsState) {
        synchronized(this) {
            if (next.revision <= state.revision) return
            publish(AppliedSettings(next, emptyList()))
        }
        onApplied(emptyList())
    }

    private fun applyNext(change: Change): Boolean {
        val (state, recent) = current.get()
        if (change.revision != state.revision + 1) return false
        val next = state.withChange(change).get()
        if (next == null) {
            log.error {
                "settings: accepted change ${change.revision} is invalid and was not applied"
            }
            return false
        }
        publish(AppliedSettings(next, (recent + change).takeLast(MAX_RECENT_CHANGES)))
        log.info { "settings: applied revision ${change.revision} (change ${change.changeId})" }
        return true
    }

    private fun publish(next: AppliedSettings) {
        val before = current.getAndSet(next).state.revision
        Invariants.check("settings-never-revert", next.state.revision > before) {
            "revision ${next.state.revision} follows revision $before"
        }
    }

    private companion object {
        // Peers that are further behind receive the full state instead.
        const val MAX_RECENT_CHANGES = 500
    }
}
