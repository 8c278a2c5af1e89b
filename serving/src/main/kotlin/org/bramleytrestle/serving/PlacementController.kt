package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.LayerRange

/**
 * Orders model servers to hold the layers that [LayerPlanner] assigns to them, while this node
 * holds the placement lease.
 *
 * Each step starts from the servers' entries alone, so no state is lost when the lease holder
 * stops. An order states how many orders the server must have begun before, so an order that
 * arrives late, after a newer one, has no effect.
 *
 * @param holdsLease whether the lease is valid long enough for one more order.
 */
public class PlacementController(
    private val orders: PlacementOrders,
    private val holdsLease: () -> Boolean,
    private val now: () -> Moment = Moment::now
) {
    private data class Incarnation(val id: String, val bornMillis: Long)

    private class SentOrder(val layers: LayerRange, val at: Moment, val timeout: Duration)

    private val sentOrders = HashMap<Incarnation, SentOrder>()
    private val begunOrders = HashMap<Incarnation, Long>()
    private var observed = emptySet<Incarnation>()
    private var observedSince: Moment? = null
    private var incompleteSince: Moment? = null

    /** Sends the orders that [fleet] needs now. */
    public fun step(fleet: Fleet, config: RoutingConfig) {
        for (service in config.services.values) {
            val model = service.model?.takeIf { it.layers > 0 } ?: continue
            val servers = fleet.ready[service.name].orEmpty().filter { it.card in model.cards }
            if (isStable(servers)) place(servers, model)
        }
    }

    /** Waits until servers that start together have registered, so that a plan covers them all. */
    private fun isStable(servers: List<BackendServer>): Boolean {
        val incarnations = servers.map { Incarnation(it.id, it.bornMillis) }.toSet()
        val holders = servers.count { it.held != null }
        if (incarnations != observed) {
            observed = incarnations
            observedSince = now()
            sentOrders.keys.retainAll(incarnations)
            begunOrders.keys.retainAll(incarnations)
        }
        val stableFor = now().since(observedSince ?: now())
        val required = if (holders == 0) FIRST_STABLE_TIME else STABLE_TIME
        return servers.isNotEmpty() && stableFor >= required
    }

    private fun place(servers: List<BackendServer>, model: ModelProfile) {
        val plan = plan(servers.map { placed(it, model) }, model)
        for (server in servers) {
            val layers = plan.layers[server.id] ?: continue
            val incarnation = Incarnation(server.id, server.bornMillis)
            if (server.held == layers) {
                sentOrders -= incarnation
                continue
            }
            val pending = sentOrders[incarnation]
            if (pending != null && pending.layers == layers &&
                now().since(pending.at) < pending.timeout
            ) {
                continue
            }
            if (!holdsLease()) return
            order(server, incarnation, layers, model)
        }
    }

    /** Keeps what servers hold while a missing server may still return. */
    private fun plan(servers: List<PlacedServer>, model: ModelProfile): LayerPlan {
        val planner = LayerPlanner(model)
        val kept = planner.plan(servers, mayReplace = false)
        if (kept.complete) {
            incompleteSince = null
            return kept
        }
        val since = incompleteSince ?: now().also { incompleteSince = it }
        return if (now().since(since) < RESTART_TIME) kept else planner.plan(servers)
    }

    /** The server with the layers that it holds or was recently ordered to hold. */
    private fun placed(server: BackendServer, model: ModelProfile): PlacedServer {
        val card = model.cards.getValue(server.card!!)
        val pending = sentOrders[Incarnation(server.id, server.bornMillis)]
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

    private fun order(
        server: BackendServer,
        incarnation: Incarnation,
        layers: LayerRange,
        model: ModelProfile
    ) {
        val memory = model.cards.getValue(server.card!!).megabytes
        check(layers.size * model.layerMegabytes <= memory) {
            "${server.id}: $layers need more than its $memory MB"
        }
        val expected = begunOrders[incarnation] ?: orders.ordersBegun(server)
        val outcome = orders.place(server, layers, expected)
        log.info {
            "placement: server=${server.id} layers=$layers held=${server.held} " +
                "expectedOrders=$expected outcome=$outcome"
        }
        val load = model.loadTime * (layers.size.toDouble() / model.layers)
        when (outcome) {
            PlacementOutcome.BEGUN -> expected?.let { begunOrders[incarnation] = it + 1 }
            PlacementOutcome.HOLDS_ALREADY -> expected?.let { begunOrders[incarnation] = it }
            else -> begunOrders -= incarnation
        }
        val timeout = if (outcome == PlacementOutcome.BEGUN) {
            load * LOAD_MARGIN + REPORT_TIME
        } else {
            RETRY_DELAY
        }
        sentOrders[incarnation] = SentOrder(layers, now(), timeout)
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Servers of a new fleet register within about one heartbeat. */
        val FIRST_STABLE_TIME = 1_500.milliseconds
        val STABLE_TIME = 200.milliseconds

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
