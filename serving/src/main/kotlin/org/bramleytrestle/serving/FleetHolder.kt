package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.milliseconds

/**
 * The fleet by the store's entries. Entries that lapsed while the store was away return shortly
 * after it, so removals that show then count only if the entry is still missing a little later.
 *
 * @param onChange called with each new fleet, one call at a time.
 */
public class FleetHolder(
    private val onChange: (Fleet) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private class Entry(val server: BackendServer?, val revision: Long)

    private val entries = HashMap<String, Entry>()
    private val missing = HashMap<String, Moment>()
    private var heldUntil: Moment? = null

    /** Number of servers known. */
    public val size: Int @Synchronized get() = entries.size

    @Synchronized
    public fun find(name: String): BackendServer? = entries[name]?.server

    /** Takes the whole list; null stands for an entry that cannot be read. */
    @Synchronized
    public fun replace(listed: Map<String, Pair<BackendServer?, Long>>) {
        val gone = entries.keys - listed.keys
        for ((name, found) in listed) set(name, found.first, found.second)
        gone.forEach(::drop)
        publish()
    }

    @Synchronized
    public fun put(name: String, server: BackendServer?, revision: Long) {
        val known = entries[name]
        if (known != null && known.revision >= revision) return
        set(name, server, revision)
        publish()
    }

    @Synchronized
    public fun remove(name: String, revision: Long) {
        val known = entries[name] ?: return
        if (known.revision > revision) return
        drop(name)
        publish()
    }

    /** The store is back: entries that lapsed meanwhile get time to return. */
    @Synchronized
    public fun storeRecovered() {
        heldUntil = now() + RETURN_TIME
    }

    /** Removes entries whose time to return is over. */
    @Synchronized
    public fun removeExpired() {
        if (missing.isEmpty()) return
        val at = now()
        val over = missing.filterValues { at.monotonicNanos >= it.monotonicNanos }.keys.toList()
        if (over.isEmpty()) return
        for (name in over) {
            missing -= name
            entries -= name
        }
        log.info { "fleet: ${over.size} entries did not return: $over" }
        publish()
    }

    private fun set(name: String, server: BackendServer?, revision: Long) {
        missing -= name
        entries[name] = Entry(server, revision)
    }

    private fun drop(name: String) {
        val until = heldUntil
        if (until != null && now().monotonicNanos < until.monotonicNanos) {
            missing[name] = until
        } else {
            missing -= name
            entries -= name
        }
    }

    private fun publish() = onChange(Fleet(entries.values.mapNotNull { it.server }))

    private companion object {
        val log = KotlinLogging.logger {}

        /** Time in which live servers register again; shorter than their time to drain. */
        val RETURN_TIME = 1_800.milliseconds
    }
}
