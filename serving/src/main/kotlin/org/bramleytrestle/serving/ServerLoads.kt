package org.bramleytrestle.serving

import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * The [ServerLoad] of each known server; a restarted server starts with a new one.
 *
 * @param share part of all requests that this node may send, from 0 to 1.
 * @param onAnnouncement called with the kind of an announcement that changed what is known.
 */
public class ServerLoads(
    private val now: () -> Moment = Moment::now,
    private val share: () -> Double = { 1.0 },
    private val onAnnouncement: (AnnouncementKind) -> Unit = {},
    private val random: Random = Random.Default
) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private val loads = ConcurrentHashMap<Incarnation, ServerLoad>()

    /** Called when a server may have room for a request. */
    @Volatile
    internal var onRoom: () -> Unit = {}

    /** Servers that have said that they are leaving. */
    private val leaving = ConcurrentHashMap.newKeySet<Incarnation>()

    @Volatile
    private var lastShare: Pair<Moment, Double>? = null

    /** Servers that failed recently; kept apart so that a decision need not check all servers. */
    private val failed = ConcurrentHashMap.newKeySet<Incarnation>()

    public fun of(server: BackendServer): ServerLoad {
        val incarnation = Incarnation(server.id, server.bornMillis)
        return loads.computeIfAbsent(incarnation) {
            val onChange = { kind: AnnouncementKind ->
                if (kind == AnnouncementKind.LEAVING) leaving += incarnation
                onAnnouncement(kind)
            }
            val announced = AnnouncedState(server.id, now, ::currentShare, onChange, random)
            ServerLoad(now, announced, { failed += incarnation }, { onRoom() })
        }
    }

    /** Reports that are at most [maxAge] old; only those sent to this node if [ownOnly] is set. */
    internal fun samples(maxAge: Duration, ownOnly: Boolean): List<LoadSample> =
        loads.mapNotNull { (server, load) ->
            load.sample(server.id, server.bornMillis, maxAge, ownOnly)
        }

    /** Number of servers that hold requests back for a reason of [kind]. */
    public fun heldBackCount(kind: AnnouncementKind): Int =
        loads.values.count { kind in it.announced.kinds }

    /** Ids of the servers of [service] in [fleet] that have said that they are leaving. */
    public fun leaving(fleet: Fleet, service: String): Set<String> {
        if (leaving.isEmpty()) return emptySet()
        return idsOf(leaving, fleet, service)
    }

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
        return idsOf(failed, fleet, service)
    }

    private fun idsOf(incarnations: Set<Incarnation>, fleet: Fleet, service: String) =
        incarnations.mapNotNull { incarnation ->
            fleet.byId[incarnation.id]?.takeIf { it.matches(incarnation, service) }
        }.mapTo(mutableSetOf()) { it.id }

    private fun BackendServer.matches(incarnation: Incarnation, service: String) =
        bornMillis == incarnation.bornMillis && this.service == service

    /**
     * Removes the loads of servers that left [fleet] and have no request in flight. One that is
     * leaving is remembered for longer: its entry may be missing for a while and return.
     */
    public fun retain(fleet: Fleet) {
        loads.entries.removeIf { (incarnation, load) ->
            val current = fleet.byId[incarnation.id]
            val replaced = current != null && current.bornMillis != incarnation.bornMillis
            val leavingFor = load.announced.leavingFor
            val remembered = leavingFor != null && leavingFor < LEAVING_MEMORY && !replaced
            load.ownInFlight == 0 && !remembered &&
                current?.bornMillis != incarnation.bornMillis
        }
        leaving.retainAll(loads.keys)
    }

    private companion object {
        /** Half of a heartbeat between nodes. */
        val SHARE_LIFETIME = 250.milliseconds

        /** Many times the longest time for which a leaving server keeps running. */
        val LEAVING_MEMORY = 10.minutes
    }
}
