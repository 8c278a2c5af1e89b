package org.bramleytrestle.store

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/**
 * Brings the engines of one model to the desired state while it holds the model's lease.
 *
 * Each step starts from the reports alone, so nothing is lost when a holder stops in the middle.
 * The last ready replica of a layer range is never taken. A new holder takes over the open orders
 * of the earlier one and takes no replica before the orders of the earlier holder can have no
 * effect any more and the engines have reported since, as an older report may show a replica that
 * was already given up. Until then it only orders empty engines that check fencing numbers.
 *
 * @param desired what the settings want; null while the settings do not name the model.
 * @param instances engines of the model's pools, as the platform lists them.
 * @param checksFencing whether an engine refuses an order with an old fencing number.
 * @param order sends an order; it takes effect within the order bound of the lease or never.
 * @param maxLoads loads that may be open at a time.
 * @param loadTimeout after this time without the wanted report an engine may be ordered again; it
 * counts as ready only when it reports what it was ordered to hold.
 * @param reportLag longest time in which a report reaches this node.
 * @param reportTimeout an engine without a newer report for this time does not count as ready.
 */
public class ModelController(
    private val store: ObjectStore,
    private val model: ModelName,
    private val lease: Lease,
    private val desired: () -> DesiredModel?,
    private val instances: () -> List<Instance>,
    private val reports: () -> List<LoadReport>,
    private val checksFencing: (Instance) -> Boolean,
    private val order: suspend (ModelOrder) -> ModelOrderOutcome,
    private val limiter: LoadLimiter,
    private val maxLoads: Int = 2,
    private val loadTimeout: Duration = 2.minutes,
    private val reportTimeout: Duration = 5.seconds,
    private val reportLag: Duration = 2.seconds,
    private val eligible: () -> Boolean = { true },
    timeSource: TimeSource = TimeSource.Monotonic
) {
    private class Seen(val report: LoadReport, val at: Duration)

    private class Open(val placement: Placement, val sequence: Long, val at: Duration)

    private val start = timeSource.markNow()
    private val journal = OrderJournal(store, model)
    private val seen = HashMap<InstanceId, Seen>()
    private val open = HashMap<InstanceId, Open>()
    private var fencingNumber = 0L
    private var settled = false
    private var trustedFrom = Duration.ZERO
    private var orders = 0

    /** Holds the lease if it can and reconciles every [interval] until cancelled. */
    public suspend fun run(interval: Duration = 500.milliseconds): Unit = coroutineScope {
        launch { lease.maintain(eligible) }
        while (true) {
            reconcile()
            delay(interval)
        }
    }

    /** Gives the orders that the present reports call for. */
    public suspend fun reconcile() {
        observe()
        val wanted = desired() ?: return
        while (mayOrder()) {
            val engines = states()
            if (engines.count { it.target != null } >= maxLoads || awaitsReports()) return
            val step = ModelReconciler.next(wanted, engines) ?: return
            if (!limiter.tryBegin() || !send(step)) return
        }
    }

    /** Notes when each report was first seen and forgets orders that are done or given up. */
    private fun observe() {
        val now = now()
        for (report in reports().filter { it.model == null || it.model == model }) {
            val known = seen[report.instance]
            if (known == null || report.sequence > known.report.sequence) {
                seen[report.instance] = Seen(report, now)
            }
        }
        open.entries.removeIf { (instance, order) ->
            val report = seen[instance]?.report
            report != null && report.sequence > order.sequence &&
                Placement(report.version.orEmpty(), report.layers ?: NO_LAYERS) == order.placement
        }
        val listed = instances().mapTo(HashSet()) { it.id }
        seen.keys.retainAll(listed)
        open.entries.removeIf { (id, order) -> id !in listed && now - order.at > loadTimeout }
    }

    /** Whether the lease is held and the open orders of earlier holders are known. */
    private suspend fun mayOrder(): Boolean {
        val number = lease.ifHeld { it } ?: return false
        if (number != fencingNumber || !journal.isTaken) {
            val taken = journal.take(number) ?: return false
            if (number != fencingNumber) adopt(number, taken)
        }
        if (!settled && lease.mayOrderUnchecked) {
            settled = true
            trustedFrom = now() + reportLag
        }
        return true
    }

    /** Continues the open orders of the holder before. */
    private fun adopt(number: Long, taken: Map<String, Placement>) {
        val known = HashMap(open)
        open.clear()
        for ((id, placement) in taken) {
            val instance = InstanceId(id)
            // A known order keeps its time, so that frequent changes of the holder do not put off
            // the repetition of an order that was lost.
            open[instance] = known[instance]?.takeIf { it.placement == placement }
                ?: Open(placement, seen[instance]?.report?.sequence ?: 0, now())
        }
        fencingNumber = number
        settled = false
        trustedFrom = now() + reportLag
    }

    /** Whether an engine could still report; without it a range would only seem to be missing. */
    private fun awaitsReports() = now() - trustedFrom < reportTimeout &&
        instances().any { (seen[it.id]?.at ?: Duration.ZERO) <= trustedFrom }

    private fun states(): List<EngineState> {
        val now = now()
        return instances().filter { it.model == null || it.model == model }.map { instance ->
            val known = seen[instance.id]
            val order = open[instance.id]
            val fresh = known != null && known.at > trustedFrom && now - known.at <= reportTimeout
            val serving = fresh && !instance.leaving && !known.report.leaving
            val empty = known?.report?.layers == null
            EngineState(
                instance,
                known?.report?.version,
                known?.report?.layers,
                ready = serving && order == null,
                usable = serving && (settled || empty && checksFencing(instance)),
                target = order?.takeIf { now - it.at <= loadTimeout }?.placement
            )
        }
    }

    /** Whether more orders may follow. */
    private suspend fun send(step: ModelReconciler.Step): Boolean {
        val instance = step.engine.instance
        val sequence = seen[instance.id]?.report?.sequence ?: 0
        val (version, layers) = step.placement
        // Noted before it is sent: from then on the engine may have given up its replica.
        open[instance.id] = Open(step.placement, sequence, now())
        val journalled = open.entries.associate { (id, order) -> id.value to order.placement }
        if (!journal.save(fencingNumber, journalled)) {
            open.remove(instance.id)
            return false
        }
        val outcome = lease.ifHeld { number ->
            if (number != fencingNumber) return@ifHeld ModelOrderOutcome.STALE_FENCING_NUMBER
            val id = "$model-$number-${orders++}"
            order(ModelOrder(id, instance, number, model, version, layers))
        }
        val refused = outcome == null || outcome == ModelOrderOutcome.STALE_FENCING_NUMBER
        if (refused) open.remove(instance.id)
        log.info { "platform: $model $version $layers to ${instance.id}: ${outcome ?: "not held"}" }
        return outcome == ModelOrderOutcome.ACCEPTED
    }

    private fun now() = start.elapsedNow()

    private companion object {
        val NO_LAYERS = LayerRange(0, Int.MAX_VALUE)
        val log = KotlinLogging.logger {}
    }
}
