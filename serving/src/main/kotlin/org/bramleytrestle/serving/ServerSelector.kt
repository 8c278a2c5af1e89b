package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/**
 * Chooses the server or chain for a request from the fleet, the loads that servers report and the
 * own requests in flight.
 *
 * Load pattern: nodes see the same late reports, so the own requests since a report count at once,
 * and the own data centre is left only when its chain is nearly full.
 */
public class ServerSelector(
    private val dataCentre: String,
    private val loads: ServerLoads = ServerLoads(),
    private val now: () -> Moment = Moment::now
) {
    /** A chain with the parts of its cost that depend on the fleet alone. */
    private class Candidate(val chain: Chain, val load: ServerLoad, val fixedCost: Double) {
        val capacity = maxOf(1.0, chain.capacity.toDouble())
    }

    private class View(val fleet: Fleet) {
        val chains = ConcurrentHashMap<Pair<String, Set<String>>, List<Candidate>>()
    }

    private val view = AtomicReference(View(Fleet.EMPTY))
    private val brokenChains = ConcurrentHashMap<String, Long>()

    public val fleet: Fleet get() = view.get().fleet

    /** Takes a new fleet, or forgets chains found for the same fleet under other settings. */
    public fun update(fleet: Fleet) {
        view.set(View(fleet))
        loads.retain(fleet)
        val nanos = now().monotonicNanos
        brokenChains.values.removeIf { nanos - it >= 0 }
    }

    public fun load(server: BackendServer): ServerLoad = loads.of(server)

    /** The least loaded server of [service] outside [tried]; avoided ones only if none is left. */
    public fun server(service: String, tried: Set<String>): BackendServer? {
        val open = view.get().fleet.ready[service].orEmpty().filter { it.id !in tried }
        val sound = open.filterNot { load(it).avoided }.ifEmpty { open }
        return sound.minByOrNull { server ->
            val busy = (load(server).estimate + 1.0) / maxOf(1, server.slots)
            busy + if (server.dataCentre == dataCentre) 0.0 else REMOTE_SERVER_COST
        }
    }

    /**
     * The chain with the most room outside [tried] whose first server is [allowed], or null if there
     * is none. Chains that failed lately are chosen only for want of others.
     */
    public fun chain(
        service: BackendService,
        tried: Set<String>,
        allowed: (BackendServer) -> Boolean = { true }
    ): ChainChoice? {
        val current = view.get()
        val model = service.model ?: return null
        val servers = current.fleet.ready[service.name].orEmpty()
        val failed = loads.avoided(current.fleet, service.name)
        val candidates = candidates(current, service.name, model, servers, failed)
            .ifEmpty { candidates(current, service.name, model, servers, emptySet()) }
        val at = now()
        var best: ChainChoice? = null
        var bestSound = false
        var bestCost = Double.MAX_VALUE
        for (candidate in candidates) {
            val chain = candidate.chain
            if (chain.label in tried || !allowed(chain.first)) continue
            val sound = !broken(chain, at)
            if (bestSound && !sound) continue
            val used = candidate.load.estimate(at) / candidate.capacity
            val cost = used + candidate.fixedCost
            if (cost < bestCost || sound && !bestSound) {
                best = ChainChoice(chain, used, sound)
                bestSound = sound
                bestCost = cost
            }
        }
        return best
    }

    private fun broken(chain: Chain, at: Moment): Boolean {
        val until = brokenChains[chain.label] ?: return false
        return at.monotonicNanos - until < 0
    }

    /** Avoids [chain], of which it isn't known which server failed. */
    public fun chainFailed(chain: Chain) {
        brokenChains[chain.label] = now().monotonicNanos + CHAIN_AVOIDANCE_NANOS
    }

    /** Avoids the server at [address], which another server of [chain] named as faulty. */
    public fun stageFailed(chain: Chain, address: String) {
        val stage = chain.stages.firstOrNull { it.server.address == address }
        if (stage == null) chainFailed(chain) else load(stage.server).failed()
    }

    private fun candidates(
        current: View,
        service: String,
        model: ModelProfile,
        servers: List<BackendServer>,
        avoided: Set<String>
    ): List<Candidate> = current.chains.computeIfAbsent(service to avoided) {
        val found = ChainFinder(model).find(servers.filter { it.id !in avoided })
        log.info {
            "routing: service=$service servers=${servers.size} avoided=${avoided.size} " +
                "chains=" + found.joinToString(";") { "${it.label}/${it.capacity}" }
        }
        val fastest = found.minOfOrNull { it.stepMillis } ?: 1.0
        found.map { chain ->
            val remote = if (chain.first.dataCentre == dataCentre) 0.0 else REMOTE_CHAIN_COST
            val slow = (chain.stepMillis / fastest - 1) * SLOWNESS_COST
            Candidate(chain, load(chain.first), remote + slow)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Load, in parts of a server's slots, that outweighs the bytes between data centres. */
        const val REMOTE_SERVER_COST = 0.4

        /** The same for chains, in parts of their capacity. */
        const val REMOTE_CHAIN_COST = 0.35

        /** Weight of a chain's time per token against that of the fastest. */
        const val SLOWNESS_COST = 0.1

        /** Time in which a server that fell silent is found by other means. */
        const val CHAIN_AVOIDANCE_NANOS = 2_000_000_000L
    }
}
