package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import org.bramleytrestle.store.StoreVersion

/**
 * Builds the [Fleet] from the servers' entries in the store.
 *
 * During a store outage entries expire although their servers are alive, and the servers register
 * again shortly afterwards. For a grace period after an outage, a removal therefore takes effect
 * only if the entry is still missing at the end of the period. The same holds after the store came
 * back from an older copy, which may lack servers; those that it lists again although they are
 * leaving or gone stay so.
 *
 * @param onChange called with each new fleet; calls do not overlap.
 */
public class FleetHolder(
    private val onChange: (Fleet) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private class Entry(val server: BackendServer?, val revision: Long)

    private val entries = HashMap<String, Entry>()

    /** Missing entries and the time at which each of them is removed. */
    private val missing = HashMap<String, Moment>()
    private var graceUntil: Moment? = null

    /** Entries of servers that were removed before the store went back. */
    private val heldBack = HashMap<String, Entry>()
    private val retired = RetiredServers(now)
    private var era: Long? = null
    private var uncertainUntil: Moment? = null

    /** Number of known entries. */
    public val size: Int @Synchronized get() = entries.size

    @Synchronized
    public fun find(name: String): BackendServer? = entries[name]?.server

    /** Whether the store went back and servers may not have written their entries again. */
    public val isUncertain: Boolean
        @Synchronized get() = uncertainUntil
            ?.let { now().monotonicNanos < it.monotonicNanos } ?: false

    /**
     * Replaces all entries by [listed]; a null server stands for an entry that is unreadable.
     *
     * @param version store version of the list.
     */
    @Synchronized
    public fun replace(listed: Map<String, Pair<BackendServer?, Long>>, version: Long) {
        val listedEra = StoreVersion.era(version)
        if (listedEra > (era ?: listedEra)) {
            retired.restored()
            storeRecovered()
            uncertainUntil = graceUntil
        }
        era = listedEra
        heldBack.keys.retainAll(listed.keys)
        val gone = entries.keys - listed.keys
        for ((name, found) in listed) set(name, found.first, found.second)
        gone.forEach { drop(it, version) }
        publish()
    }

    /** Applies [changes] in order and publishes one fleet for all of them. */
    @Synchronized
    public fun apply(changes: List<FleetChange>) {
        for (change in changes) {
            val known = entries[change.name]
            when {
                known != null && known.revision > change.revision -> Unit
                change.removed -> {
                    heldBack -= change.name
                    if (known != null) drop(change.name, change.revision)
                }
                known?.revision == change.revision -> Unit
                else -> set(change.name, change.server, change.revision)
            }
        }
        publish()
    }

    /**
     * Starts the grace period in which entries that expired during the outage may return.
     *
     * @param rest what is left of it, if another node noticed the outage.
     */
    @Synchronized
    public fun storeRecovered(rest: Duration? = null) {
        graceUntil = now() + (rest ?: GRACE_PERIOD)
    }

    /** The rest of the grace period; zero if there is none. */
    public val grace: Duration
        @Synchronized get() = graceUntil
            ?.let { (it.monotonicNanos - now().monotonicNanos).nanoseconds }
            ?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO

    /** Removes missing entries whose grace period is over; takes entries no longer held back. */
    @Synchronized
    public fun removeExpired() {
        if (heldBack.isNotEmpty() && !retired.mayBeListed) {
            log.info { "fleet: taking entries that have not lapsed: ${heldBack.keys}" }
            entries += heldBack
            heldBack.clear()
            publish()
        }
        if (missing.isEmpty()) return
        val at = now()
        val expired = missing.filterValues { at.monotonicNanos >= it.monotonicNanos }.keys.toList()
        if (expired.isEmpty()) return
        for (name in expired) {
            missing -= name
            entries -= name
        }
        log.info { "fleet: ${expired.size} entries did not return: $expired" }
        publish()
    }

    private fun set(name: String, server: BackendServer?, revision: Long) {
        if (server != null && retired.includes(server, revision)) {
            if (heldBack.put(name, Entry(server, revision)) == null) {
                log.info { "fleet: $name was removed before the store went back, held back" }
            }
            return
        }
        heldBack -= name
        missing -= name
        entries[name] = Entry(server?.let { corrected(it, revision) }, revision)
    }

    /** What the server is, if [server] shows what it was before. */
    private fun corrected(server: BackendServer, revision: Long): BackendServer {
        val known = entries[server.id] ?: return server
        val earlier = known.server ?: return server
        val restored = StoreVersion.era(revision) > StoreVersion.era(known.revision)
        val isSameStart = server.bornMillis == earlier.bornMillis && server.bornMillis > 0
        return when {
            restored && server.bornMillis < earlier.bornMillis -> earlier
            // A server that is leaving does not take that back.
            isSameStart && earlier.leaving -> server.copy(leaving = true)
            else -> server
        }
    }

    private fun drop(name: String, revision: Long) {
        entries[name]?.server?.let { retired.removed(it, revision) }
        val until = graceUntil
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

        /** Live servers register again within this time, which is shorter than their drain time. */
        val GRACE_PERIOD = 1_800.milliseconds
    }
}
