package org.bramleytrestle.serving

import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.store.StoreVersion

/**
 * Remembers which starts of servers were removed from the store.
 *
 * A store that comes back from an older copy lists servers that have left since. Their entries
 * lapse again, or disappear when their removal is written again; a live server writes its own.
 */
internal class RetiredServers(private val now: () -> Moment) {
    private class Removal(val bornMillis: Long, val revision: Long)

    private val removals = LinkedHashMap<String, Removal>()
    private var restoredAt: Moment? = null

    /** Whether entries of an older copy of the store may not have lapsed yet. */
    val mayBeListed: Boolean get() = restoredAt?.let { now().since(it) < LAPSE_TIME } ?: false

    fun restored() {
        restoredAt = now()
    }

    /** Records that [server] was missing at [revision]. */
    fun removed(server: BackendServer, revision: Long) {
        removals -= server.id
        removals[server.id] = Removal(server.bornMillis, revision)
        while (removals.size > MAX_REMOVALS) removals -= removals.keys.first()
    }

    /** Whether the entry of [server] at [revision] is one that was removed before. */
    fun includes(server: BackendServer, revision: Long): Boolean {
        if (!mayBeListed) return false
        val removal = removals[server.id] ?: return false
        return server.bornMillis <= removal.bornMillis &&
            StoreVersion.era(revision) > StoreVersion.era(removal.revision) &&
            StoreVersion.revision(revision) < StoreVersion.revision(removal.revision)
    }

    private companion object {
        /** Three heartbeats of a server, after which its entry lapses, and the time to notice it. */
        val LAPSE_TIME = 5.seconds

        /** More than leave within the age of a copy. */
        const val MAX_REMOVALS = 1_000
    }
}
