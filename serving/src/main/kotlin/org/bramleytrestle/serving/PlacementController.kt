package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bramleytrestle.model.LayerRange

/**
 * Orders model servers to hold what [LayerPlanner] wants, while this node holds the lease for it.
 *
 * Each step starts from the entries alone, so a holder that stops loses nothing. Orders name the
 * number of orders that the server has begun, so one that is carried out late, after a newer one,
 * does nothing.
 *
 * @param holdsLease whether the lease is valid long enough for one more order.
 */
public class PlacementController(
    private val orders: PlacementOrders,
    private val holdsLease: () -> Boolean,
    private val now: () -> Moment = Moment::now
) {
    private data class Run(val id: String, val bornMillis: Long)

    private class Sent(val layers: LayerRange, val at: Moment, val timeout: Duration)

    private val sent = HashMap<Run, Sent>()
    private val begun = HashMap<Run, Long>()
    private var seen = emptySet<Run>()
    private var seenSince: Moment? = null
    private var incompleteSince: Moment? = null

    /** Gives the orders that the fleet needs. */
    public fun step(fleet: Fleet, config: RoutingConfig) {
        for (service in config.services.values) {
            val model = service.model?.takeIf { it.layers > 0 } ?: continue
            val servers = fleet.ready[service.name].orEmpty().filter { it.card in model.cards }
            if (settled(servers)) place(servers, model)
        }
    }

    /** Waits for servers that start together, so that a plan is not made for a part of them. */
    private fun settled(servers: List<BackendServer>): Boolean {
        val runs = servers.map { Run(it.id, it.bornMillis) }.toSet()
        val holders = servers.count { it.held != null }
        if (runs != seen) {
            seen = runs
            seenSince = now()
            sent.keys.retainAll(runs)
            begun.keys.retainAll(runs)
        }
        val stable = now().since(seenSince ?: now())
        return servers.isNotEmpty() && stable >= if (holders == 0) FIRST_SETTLE else SETTLE
    }

    private fun place(servers: List<BackendServer>, model: ModelProfile) {
        val wanted = plan(servers.map { placed(it, model) }, model)
        for (server in servers) {
            val layers = wanted.layers[server.id] ?: continue
            val run = Run(server.id, server.bornMillis)
            if (server.held == layers) {
                sent -= run
                continue
            }
            val open = sent[run]
            if (open != null && open.layers == layers && now().since(open.at) < open.timeout) {
                continue
            }
            if (!holdsLease()) return
            order(server, run, layers, model)
        }
    }

    /** Keeps what servers hold while one that is missing may still return. */
    private fun plan(servers: List<PlacedServer>, model: ModelProfile): LayerPlan {
        val planner = LayerPlanner(model)
        val kept = planner.plan(servers, mayReplace = false)
        if (kept.complete) {
            incompleteSince = null
            return kept
        }
        val since = incompleteSince ?: now().also { incompleteSince = it }
        return if (now().since(since) < RETURN_TIME) kept else planner.plan(servers)
    }

    /** The server with what it holds or was just ordered to hold. */
    private fun placed(server: BackendServer, model: ModelProfile): PlacedServer {
        val card = model.cards.getValue(server.card!!)
        val open = sent[Run(server.id, server.bornMillis)]
            ?.takeIf { now().since(it.at) < it.timeout }
        val held = open?.layers ?: server.held
        return PlacedServer(server.id, server.dataCentre, card.megabytes, card.pace, held)
    }

    private fun order(server: BackendServer, run: Run, layers: LayerRange, model: ModelProfile) {
        val memory = model.cards.getValue(server.card!!).megabytes
        check(layers.size * model.layerMegabytes <= memory) {
            "${server.id}: $layers need more than its $memory MB"
        }
        val expected = begun[run] ?: orders.ordersBegun(server)
        val outcome = orders.place(server, layers, expected)
        log.info {
            "placement: server=${server.id} layers=$layers held=${server.held} " +
                "expectedOrders=$expected outcome=$outcome"
        }
        val load = model.loadTime * (layers.size.toDouble() / model.layers)
        when (outcome) {
            PlacementOutcome.BEGUN -> expected?.let { begun[run] = it + 1 }
            PlacementOutcome.HOLDS_ALREADY -> expected?.let { begun[run] = it }
            else -> begun -= run
        }
        val timeout = if (outcome == PlacementOutcome.BEGUN) {
            load * LOAD_MARGIN + REPORT_TIME
        } else {
            REORDER
        }
        sent[run] = Sent(layers, now(), timeout)
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Servers of a new fleet register within about one heartbeat. */
        val FIRST_SETTLE = 1_500.milliseconds
        val SETTLE = 200.milliseconds

        /** Time in which a server that crashed starts again after its entry is gone. */
        val RETURN_TIME = 4.seconds

        /** Loads that run at the same time share the weight store. */
        const val LOAD_MARGIN = 3

        /** Two heartbeats, in which a finished load shows in the server's entry. */
        val REPORT_TIME = 3.seconds

        /** Time until an order that was refused or not answered is given again. */
        val REORDER = 1.seconds
    }
}
