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

/** Processes of a soak run: nodes, engines of both sides, services and the platform. */
internal class SoakFleet(val launcher: FleetLauncher) {
    val nodes = ConcurrentHashMap<String, FleetProcess>()
    val engines = ConcurrentHashMap<String, FleetProcess>()
    val services = ConcurrentHashMap<String, FleetProcess>()
    private val specs = ConcurrentHashMap<String, EngineSpec>()
    private val generation = AtomicInteger()

    /**
     * Nodes in a graceful shutdown, until the entry lists of callers have expired and the process
     * has exited.
     */
    val draining: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Nodes and engines affected by a fault and not yet recovered. */
    val faulty: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Bookings that were refused as not executed, without any other response since. */
    val refusedBookings: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val confirmedBookings: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val recoveredAt = ConcurrentHashMap<String, TimeMark>()

    /** Records that node [id] has recovered from its fault. */
    fun markRecovered(id: String) {
        recoveredAt[id] = TimeSource.Monotonic.markNow()
        faulty -= id
    }

    /** Time since node [id] recovered from its last fault, or infinite without a fault. */
    fun timeSinceRecovery(id: String): Duration = recoveredAt[id]?.elapsedNow() ?: Duration.INFINITE

    fun start() {
        launcher.startPlatform()
        val newRanges = listOf(LayerRange(0, 4), LayerRange(4, 8), LayerRange(8, LAYERS))
        val oldRanges = listOf(LayerRange(0, 6), LayerRange(6, LAYERS))
        for (copy in 1..2) {
            newRanges.forEachIndexed { i, layers ->
                startEngine("new-$copy-$i", "drafter-new", layers)
            }
        }
        oldRanges.forEachIndexed { i, layers -> startEngine("old-1-$i", "drafter-old", layers) }
        for (i in 1..SERVICES) startService("booking-$i")
        for (i in 1..NODES) startNode("node-$i")
    }

    /** Starts or restarts a node. */
    fun startNode(id: String) {
        nodes[id] = launcher.startNode(id, "dc${id.last()}", "keepSeconds: $KEEP_SECONDS")
    }

    fun startService(id: String) {
        services[id] = launcher.startService(id, "booking", "dc1")
    }

    /** Kills engine [id] and starts a replacement with a new id, as a platform does. */
    fun replaceEngine(id: String) {
        val old = specs.remove(id) ?: return
        engines.remove(id)?.kill()
        launcher.unregister(id)
        val newId = "${id.substringBefore('.')}.${generation.incrementAndGet()}"
        startEngine(newId, old.pool, old.layers)
    }

    fun address(instance: String): String = launcher.address(instance)

    /** Marks the instance as leaving in the instance list of the platform. */
    fun registerAsLeaving(instance: String) =
        launcher.register(launcher.instance(InstanceId(instance)).copy(leaving = true))

    private fun startEngine(id: String, pool: String, layers: LayerRange) {
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
