package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.guardedBlocking

/**
 * Orders model servers to hold the layers that [LayerPlanner] assigns to them, while this node
 * holds the placement lease.
 *
 * Each step starts from the servers' entries alone, so no state is lost when the lease holder
 * stops. An order states how many orders the server must have begun before, so an order that
 * arrives late, after a newer one, has no effect.
 *
 * @param holdsLease whether the lease is valid long enough for one more order.
 * @param accepts whether a server may get an order now.
 * @param runAll runs the given calls to servers, in any order or concurrently, and returns when
 * all have ended.
 */
public class PlacementController(
    private val orders: PlacementOrders,
    private val holdsLease: () -> Boolean,
    private val now: () -> Moment = Moment::now,
    private val accepts: (BackendServer) -> Boolean = { true },
    private val runAll: (List<() -> Unit>) -> Unit = { calls -> calls.forEach { it() } }
) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private class SentOrder(val layers: LayerRange, val at: Moment, val timeout: Duration)

    private class Outcome(val expected: Long?, val result: PlacementOutcome)

    /** What is known of the servers of one service. */
    private class ServiceState {
        val sentOrders = HashMap<Incarnation, SentOrder>()
        val begunOrders = HashMap<Incarnation, Long>()
        var observed = emptySet<Incarnation>()
        var observedSince: Moment? = null
        var incompleteSince: Moment? = null
    }

    private val states = HashMap<String, ServiceState>()

    /** Sends the orders that [fleet] needs now. */
    public fun step(fleet: Fleet, config: RoutingConfig) {
        states.keys.retainAll(config.services.keys)
        for (service in config.services.values) {
            val model = service.model?.takeIf { it.layers > 0 } ?: continue
            val servers = fleet.ready[service.name].orEmpty().filter(model::fits)
            val state = states.getOrPut(service.name) { ServiceState() }
            if (isObservable(state, servers)) place(state, servers, model)
        }
    }

    /**
     * Waits until the servers of a new fleet, which start together, have registered, so that the
     * first plan covers them all. A later plan starts from what servers hold and needs no wait.
     */
    private fun isObservable(state: ServiceState, servers: List<BackendServer>): Boolean {
        val incarnations = servers.mapTo(mutableSetOf(), ::incarnation)
        if (incarnations != state.observed) {
            state.observed = incarnations
            state.observedSince = now()
            state.sentOrders.keys.retainAll(incarnations)
            state.begunOrders.keys.retainAll(incarnations)
        }
        if (servers.isEmpty()) return false
        if (state.sentOrders.isNotEmpty() || servers.any { it.held != null }) return true
        return now().since(state.observedSince ?: now()) >= FIRST_STABLE_TIME
    }

    private fun place(state: ServiceState, servers: List<BackendServer>, model: ModelProfile) {
        val plan = plan(state, servers.map { placed(state, it, model) }, model)
        val due = servers.mapNotNull { server ->
            plan.layers[server.id]?.takeIf { isDue(state, server, it) }?.let { server to it }
        }
        val outcomes = ConcurrentHashMap<String, Outcome>()
        runAll(
            due.map { (server, layers) ->
                {
                    // An order that cannot be sent must not hold up those to other servers.
                    val sent = guardedBlocking("placement of ${server.id}") {
                        order(state, server, layers, model)?.let { outcomes[server.id] = it }
                    }
                    if (!sent) outcomes[server.id] = Outcome(null, PlacementOutcome.UNKNOWN)
                }
            }
        )
        for ((server, layers) in due) {
            outcomes[server.id]?.let { record(state, server, layers, it, model) }
        }
    }

    private fun isDue(state: ServiceState, server: BackendServer, layers: LayerRange): Boolean {
        val incarnation = incarnation(server)
        if (server.held == layers) {
            state.sentOrders -= incarnation
            return false
        }
        if (!accepts(server)) return false
        val pending = state.sentOrders[incarnation] ?: return true
        return pending.layers != layers || now().since(pending.at) >= pending.timeout
    }

    /** Keeps what servers hold while a missing server may still return. */
    private fun plan(
        state: ServiceState,
        servers: List<PlacedServer>,
        model: ModelProfile
    ): LayerPlan {
        val planner = LayerPlanner(model)
        val kept = planner.plan(servers, mayReplace = false)
        if (kept.complete) {
            state.incompleteSince = null
            return kept
        }
        val since = state.incompleteSince ?: now().also { state.incompleteSince = it }
        return if (now().since(since) < RESTART_TIME) kept else planner.plan(servers)
    }

    /** The server with the layers that it holds or was recently ordered to hold. */
    private fun placed(
        state: ServiceState,
        server: BackendServer,
        model: ModelProfile
    ): PlacedServer {
        val card = model.cards.getValue(server.card!!)
        val pending = state.sentOrders[incarnation(server)]
            ?.takeIf { now().since(it.at) < it.timeout }
        val held = pending?.layers ?: server.held
        return PlacedServer(
            server.id,
            server.dataCentre,
            card.megabytes,
            card.stepTimeFactor,
            held
        )
    }

    /** Sends one order; returns null if the lease no longer allows it. May run concurrently. */
    private fun order(
        state: ServiceState,
        server: BackendServer,
        layers: LayerRange,
        model: ModelProfile
    ): Outcome? {
        val memory = model.cards.getValue(server.card!!).megabytes
        check(layers.size * model.layerMegabytes <= memory) {
            "${server.id}: $layers need more than its $memory MB"
        }
        if (!holdsLease()) return null
        val incarnation = incarnation(server)
        val expected = state.begunOrders[incarnation]
            ?: if (isUntouched(state, server)) 0 else orders.ordersBegun(server)
        // The report may have taken longer than the lease lasts.
        if (!holdsLease()) return null
        val outcome = orders.place(server, layers, expected)
        log.info {
            "placement: server=${server.id} layers=$layers held=${server.held} " +
                "expectedOrders=$expected outcome=$outcome"
        }
        return Outcome(expected, outcome)
    }

    /** Whether the server has started empty and this node has not sent it an order yet. */
    private fun isUntouched(state: ServiceState, server: BackendServer) =
        server.held == null && incarnation(server) !in state.sentOrders

    private fun record(
        state: ServiceState,
        server: BackendServer,
        layers: LayerRange,
        outcome: Outcome,
        model: ModelProfile
    ) {
        val incarnation = incarnation(server)
        val load = model.loadTime * (layers.size.toDouble() / model.layers)
        val expected = outcome.expected
        when (outcome.result) {
            PlacementOutcome.BEGUN -> expected?.let { state.begunOrders[incarnation] = it + 1 }
            PlacementOutcome.HOLDS_ALREADY -> expected?.let { state.begunOrders[incarnation] = it }
            else -> state.begunOrders -= incarnation
        }
        val timeout = if (outcome.result == PlacementOutcome.BEGUN) {
            load * LOAD_MARGIN + REPORT_TIME
        } else {
            RETRY_DELAY
        }
        state.sentOrders[incarnation] = SentOrder(layers, now(), timeout)
    }

    private fun incarnation(server: BackendServer) = Incarnation(server.id, server.bornMillis)

    private companion object {
        val log = KotlinLogging.logger {}

        /** Servers of a new fleet register within about one heartbeat. */
        val FIRST_STABLE_TIME = 1_500.milliseconds

        /** Time that a crashed server takes to start again after its entry is removed. */
        val RESTART_TIME = 4.seconds

        /** Concurrent loads share the weight store, which slows each of them down. */
        const val LOAD_MARGIN = 3

        /** Two heartbeats, within which a finished load appears in the server's entry. */
        val REPORT_TIME = 3.seconds

        /** Delay before an order that was refused or not answered is sent again. */
        val RETRY_DELAY = 1.seconds
    }
}
