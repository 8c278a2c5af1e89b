package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Selects the server or chain for a request based on the fleet, the loads that servers report and
 * this node's own requests in flight.
 *
 * All nodes see the same delayed reports. A node therefore counts its own requests since the last
 * report immediately, chooses at random among chains of nearly the same cost, and uses another data
 * centre only when its own chains are nearly full.
 */
public class ServerSelector(
    private val dataCentre: String,
    private val loads: ServerLoads = ServerLoads(),
    private val now: () -> Moment = Moment::now,
    private val random: Random = Random.Default,
    private val findChains: (ModelProfile, List<BackendServer>) -> List<Chain> =
        { model, servers -> ChainFinder(model).find(servers) }
) {
    /** A chain and the part of its cost that depends only on the fleet. */
    private class Candidate(val chain: Chain, val load: ServerLoad, val fixedCost: Double) {
        val capacity = maxOf(1.0, chain.capacity.toDouble())
    }

    /** Chains of one service for a model, by avoided servers. */
    private class Found(val model: ModelProfile) {
        val byAvoided = ConcurrentHashMap<Set<String>, List<Candidate>>()
    }

    /** A fleet and the chains found for it. Services whose servers are unchanged keep theirs. */
    private class Snapshot(val fleet: Fleet, previous: Snapshot?) {
        val chains = ConcurrentHashMap<String, Found>()

        init {
            for ((service, found) in previous?.chains.orEmpty()) {
                if (fleet.ready[service] == previous?.fleet?.ready[service]) chains[service] = found
            }
        }
    }

    private val snapshot = AtomicReference(Snapshot(Fleet.EMPTY, null))

    /** Monotonic times until which chains are avoided, by label. */
    private val avoidedChains = ConcurrentHashMap<String, Long>()

    /** Start time of servers that failed for this node and when they did, by id. */
    private val observedFailures = ConcurrentHashMap<String, Pair<Long, Moment>>()

    public val fleet: Fleet get() = snapshot.get().fleet

    /** The fleet without the servers that have said that they are leaving. */
    public val stayingFleet: Fleet
        get() {
            val all = fleet
            val leaving = all.ready.keys.flatMap { loads.leaving(all, it) }.toSet()
            return if (leaving.isEmpty()) {
                all
            } else {
                Fleet(
                    all.byId.values.filter {
                        it.id !in leaving
                    }
                )
            }
        }

    /** Sets the fleet and discards the cached chains of services whose servers changed. */
    public fun update(fleet: Fleet) {
        snapshot.updateAndGet { Snapshot(fleet, it) }
        loads.retain(fleet)
        val nanos = now().monotonicNanos
        avoidedChains.values.removeIf { nanos - it >= 0 }
        loads.onRoom()
    }

    /** Sets what is called when a server may have room for a request. */
    internal fun onRoom(listener: () -> Unit) {
        loads.onRoom = listener
    }

    /** Time until chains of [service] change without an event that tells so; null if they do not. */
    internal fun timeUntilChange(service: String): Duration? {
        val nanos = now().monotonicNanos
        val chains = avoidedChains.values.map { (it - nanos).nanoseconds }
            .filter { it.isPositive() }
        val servers = snapshot.get().fleet.ready[service].orEmpty()
            .mapNotNull { load(it).timeUntilChange() }
        return (chains + servers).minOrNull()
    }

    public fun load(server: BackendServer): ServerLoad = loads.of(server)

    /**
     * Takes the least loaded server of [service] not in [tried] that accepts a request of this node
     * now; avoided ones are the last resort. The caller sends it one request.
     */
    public fun takeServer(service: String, tried: Set<String>): BackendServer? {
        val open = snapshot.get().fleet.ready[service].orEmpty().toMutableList()
        open.removeIf { it.id in tried || !load(it).announced.mayTake() }
        while (open.isNotEmpty()) {
            val healthy = open.filterNot { load(it).avoided }.ifEmpty { open }
            val best = healthy.minBy(::cost)
            if (load(best).announced.tryTake()) return best
            open -= best
        }
        return null
    }

    private fun cost(server: BackendServer): Double {
        val utilisation = (load(server).estimate + 1.0) / maxOf(1, server.slots)
        return utilisation + if (server.dataCentre == dataCentre) 0.0 else REMOTE_SERVER_COST
    }

    /**
     * Time until a server of [service] that holds back this node's requests accepts one; null if
     * none holds them back.
     */
    public fun timeUntilTake(service: String): Duration? =
        snapshot.get().fleet.ready[service].orEmpty()
            .map { load(it).announced.timeUntilTake() }
            .filter { it.isPositive() && it.isFinite() }
            .minOrNull()

    /**
     * The cheapest chain not in [tried] whose first server is [allowed] and accepts a request of
     * this node now, or null if there is none. Chains whose utilisation exceeds [limit] are selected
     * only if no other is left, and chains that failed recently only after them. The request is to
     * be sent only after [takeFirst].
     */
    public fun chain(
        service: BackendService,
        tried: Set<String>,
        limit: Double = 1.0,
        allowed: (BackendServer) -> Boolean = { true }
    ): ChainChoice? {
        val current = snapshot.get()
        val model = service.model ?: return null
        val servers = current.fleet.ready[service.name].orEmpty()
        val leaving = loads.leaving(current.fleet, service.name)
        val failed = loads.avoided(current.fleet, service.name) + leaving
        val candidates = candidates(current, service.name, model, servers, failed)
            .ifEmpty { candidates(current, service.name, model, servers, leaving) }
        val at = now()
        var best: ChainChoice? = null
        var bestRank = 0
        var bestCost = Double.MAX_VALUE
        for (candidate in candidates) {
            val chain = candidate.chain
            if (chain.label in tried || !allowed(chain.first)) continue
            if (!candidate.load.announced.mayTake()) continue
            val healthy = !isAvoided(chain, at)
            val utilisation = candidate.load.estimate(at) / candidate.capacity
            val rank = (if (healthy) HEALTHY_RANK else 0) + (if (utilisation <= limit) 1 else 0)
            if (rank < bestRank) continue
            val cost = utilisation + candidate.fixedCost + random.nextDouble() * RANDOM_COST
            if (rank > bestRank || cost < bestCost) {
                best = ChainChoice(chain, utilisation, healthy)
                bestRank = rank
                bestCost = cost
            }
        }
        return best
    }

    /** Takes the permit for one request to the first server of [chain]; false if it has none now. */
    public fun takeFirst(chain: Chain): Boolean = load(chain.first).announced.tryTake()

    private fun isAvoided(chain: Chain, at: Moment): Boolean {
        val until = avoidedChains[chain.label] ?: return false
        return at.monotonicNanos - until < 0
    }

    /** Avoids [chain] as a whole because it is unknown which of its servers failed. */
    public fun chainFailed(chain: Chain) {
        avoidedChains[chain.label] = now().monotonicNanos + CHAIN_AVOIDANCE_NANOS
    }

    /** Avoids the server at [address], which another server of [chain] reported as faulty. */
    public fun stageFailed(chain: Chain, address: String) {
        val stage = chain.stages.firstOrNull { it.server.address == address }
        if (stage == null) chainFailed(chain) else serverFailed(stage.server)
    }

    /** Avoids [server], which cannot be reached. */
    public fun serverFailed(server: BackendServer) {
        observedFailures[server.id] = server.bornMillis to now()
        load(server).failed()
    }

    /** Servers that failed for this node within [FailureExchange.LIFETIME]. */
    public fun observedFailures(): List<FailedServer> {
        observedFailures.values.removeIf { (_, at) -> now().since(at) > FailureExchange.LIFETIME }
        return observedFailures.map { (id, failure) ->
            FailedServer(id, failure.first, now().since(failure.second).inWholeMilliseconds)
        }
    }

    /** Avoids servers that failed for other nodes; one that has started again since is used. */
    public fun avoidReported(failed: List<FailedServer>) {
        val byId = fleet.byId
        for (failure in failed) {
            val server =
                byId[failure.id]?.takeIf { it.bornMillis == failure.bornMillis } ?: continue
            val rest = FailureExchange.LIFETIME - failure.age
            if (rest.isPositive()) load(server).avoid(rest)
        }
    }

    private fun candidates(
        current: Snapshot,
        service: String,
        model: ModelProfile,
        servers: List<BackendServer>,
        avoided: Set<String>
    ): List<Candidate> {
        val cached = current.chains.compute(service) { _, known ->
            known?.takeIf { it.model == model && it.byAvoided.size < MAX_CACHED_SEARCHES }
                ?: Found(model)
        }!!
        return cached.byAvoided.computeIfAbsent(avoided) { search(service, model, servers, it) }
    }

    private fun search(
        service: String,
        model: ModelProfile,
        servers: List<BackendServer>,
        avoided: Set<String>
    ): List<Candidate> {
        val found = findChains(model, servers.filter { it.id !in avoided })
        log.info {
            "routing: service=$service servers=${servers.size} avoided=$avoided " +
                "chains=" +
                found.joinToString(";") { "${it.first.id}/${it.stages.size}/${it.capacity}" }
        }
        val fastest = found.minOfOrNull { it.stepMillis } ?: 1.0
        return found.map { chain ->
            val remote = if (chain.first.dataCentre == dataCentre) 0.0 else REMOTE_CHAIN_COST
            val slow = (chain.stepMillis / fastest - 1) * SLOWNESS_COST
            Candidate(chain, load(chain.first), remote + slow)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Sets of avoided servers for which chains are kept while the servers do not change. */
        const val MAX_CACHED_SEARCHES = 32

        /** Difference in utilisation that justifies billed traffic to another data centre. */
        const val REMOTE_SERVER_COST = 0.4

        /** Like [REMOTE_SERVER_COST], as a fraction of a chain's capacity. */
        const val REMOTE_CHAIN_COST = 0.35

        /** Largest difference in utilisation that the random choice between chains may cause. */
        const val RANDOM_COST = 0.1

        /** A chain that failed recently is worse than one that is full. */
        const val HEALTHY_RANK = 2

        /** Cost of a chain that takes twice the time per token of the fastest chain. */
        const val SLOWNESS_COST = 0.1

        /** Time within which a stalled server is identified by other means. */
        const val CHAIN_AVOIDANCE_NANOS = 2_000_000_000L
    }
}
