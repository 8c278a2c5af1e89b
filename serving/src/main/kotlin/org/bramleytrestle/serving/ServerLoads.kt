package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * The [ServerLoad] of each known server; a restarted server starts with a new one.
 *
 * @param share part of all requests that this node may send, from 0 to 1.
 * @param onAnnouncement called with the kind of an announcement that changed what is known.
 */
public class ServerLoads(
    private val now: () -> Moment = Moment::now,
    private val share: () -> Double = { 1.0 },
    private val onAnnouncement: (kind: String) -> Unit = {},
    private val random: Random = Random.Default
) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Incarnation, ServerLoad>()

    @Volatile
    private var lastShare: Pair<Moment, Double>? = null

    /** Servers that failed recently; kept apart so that a decision need not check all servers. */
    private val failed = ConcurrentHashMap.newKeySet<Incarnation>()

    public fun of(server: BackendServer): ServerLoad {
        val incarnation = Incarnation(server.id, server.bornMillis)
        return loads.computeIfAbsent(incarnation) {
            val announced = AnnouncedState(server.id, now, ::currentShare, onAnnouncement, random)
            ServerLoad(now, announced) { failed += incarnation }
        }
    }

    /** Number of servers that have named a limit. */
    public val limitedCount: Int get() = loads.values.count { it.announced.isLimited }

    /** A request looks at many servers; the share takes a look at all nodes. */
    private fun currentShare(): Double {
        val known = lastShare
        if (known != null && now().since(known.first) < SHARE_LIFETIME) return known.second
        return share().also { lastShare = now() to it }
    }

    /** Ids of the avoided servers of [service] in [fleet]. */
    public fun avoided(fleet: Fleet, service: String): Set<String> {
        if (failed.isEmpty()) return emptySet()
        failed.removeIf { loads[it]?.avoided != true }
        return failed.mapNotNull { incarnation ->
            fleet.byId[incarnation.id]?.takeIf { it.matches(incarnation, service) }
        }.mapTo(mutableSetOf()) { it.id }
    }

    private fun BackendServer.matches(incarnation: Incarnation, service: String) =
        bornMillis == incarnation.bornMillis && this.service == service

    /** Removes the loads of servers that left [fleet] and have no request in flight. */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (incarnation, load) ->
            load.ownInFlight == 0 &&
                fleet.byId[incarnation.id]?.bornMillis != incarnation.bornMillis
        }
    }

    private companion object {
        /** Half of a heartbeat between nodes. */
        val SHARE_LIFETIME = 250.milliseconds
    }
}
