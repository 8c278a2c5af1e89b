package org.bramleytrestle.standins.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.standins.fleet.EngineSpec
import org.bramleytrestle.standins.fleet.FleetLauncher
import org.bramleytrestle.standins.fleet.FleetProcess

/** The processes of a soak run: nodes, engines of both sides, services and the platform. */
internal class SoakFleet(val launcher: FleetLauncher) {
    val nodes = ConcurrentHashMap<String, FleetProcess>()
    val engines = ConcurrentHashMap<String, FleetProcess>()
    val services = ConcurrentHashMap<String, FleetProcess>()
    private val specs = ConcurrentHashMap<String, EngineSpec>()
    private val generation = AtomicInteger()

    /** Nodes in a planned stop, until their process has ended and callers' answers expired. */
    val draining: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Nodes that a fault has killed, paused or not yet brought back. */
    val faulty: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Bookings whose callers were told that they were not run, and nothing else since. */
    val refusedBookings: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val confirmedBookings: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val healedAt = ConcurrentHashMap<String, TimeMark>()

    /** The fault of node [id] is over. */
    fun healed(id: String) {
        healedAt[id] = TimeSource.Monotonic.markNow()
        faulty -= id
    }

    /** Time since the last fault of node [id]. */
    fun healthyFor(id: String): Duration = healedAt[id]?.elapsedNow() ?: Duration.INFINITE

    fun start() {
        launcher.startPlatform()
        val thirds = listOf(LayerRange(0, 4), LayerRange(4, 8), LayerRange(8, LAYERS))
        val halves = listOf(LayerRange(0, 6), LayerRange(6, LAYERS))
        for (copy in 1..2) {
            thirds.forEachIndexed { i, layers -> engine("new-$copy-$i", "drafter-new", layers) }
        }
        halves.forEachIndexed { i, layers -> engine("old-1-$i", "drafter-old", layers) }
        for (i in 1..SERVICES) service("booking-$i")
        for (i in 1..NODES) node("node-$i")
    }

    /** Starts a node, again after it ended. */
    fun node(id: String) {
        nodes[id] = launcher.startNode(id, "dc${id.last()}", "keepSeconds: $KEEP_SECONDS")
    }

    fun service(id: String) {
        services[id] = launcher.startService(id, "booking", "dc1")
    }

    /** Starts a replacement for engine [id] under a new id, as a platform does. */
    fun replaceEngine(id: String) {
        val old = specs.remove(id) ?: return
        engines.remove(id)?.kill()
        launcher.unregister(id)
        engine("${id.substringBefore('.')}.${generation.incrementAndGet()}", old.pool, old.layers)
    }

    fun address(instance: String): String = launcher.address(instance)

    /** Puts the sign of leaving into the platform's list. */
    fun listLeaving(instance: String) =
        launcher.register(launcher.instance(InstanceId(instance)).copy(leaving = true))

    private fun engine(id: String, pool: String, layers: LayerRange) {
        val spec = EngineSpec(id, pool, MODEL, layers, LAYERS, dataCentre = "dc1")
        specs[id] = spec
        engines[id] = launcher.startEngine(spec)
    }

    companion object {
        const val MODEL = "drafter"
        const val LAYERS = 12
        const val KEEP_SECONDS = 3L
        private const val NODES = 3
        private const val SERVICES = 2
    }
}
