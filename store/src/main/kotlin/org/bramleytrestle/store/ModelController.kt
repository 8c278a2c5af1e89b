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
 * Reconciles the engines of one model with the desired state while this process holds the model's
 * lease.
 *
 * Each step is computed from the reports and the open orders alone, so a holder can stop at any
 * point. The last ready replica of a layer range is never reassigned. A new holder takes over the
 * open orders of the previous one. It reassigns no replica until the orders of the previous holder
 * can no longer take effect and the engines have reported since then, because an older report may
 * show a replica that has already been unloaded. Until then it only sends orders to empty engines
 * that check fencing numbers.
 *
 * @param desired desired state; null while the settings do not contain the model.
 * @param instances engines of the model's pools, as listed by the platform.
 * @param checksFencing whether an engine rejects orders with an outdated fencing number.
 * @param order sends an order. The order must take effect within the maximum order duration of the
 * lease or not at all.
 * @param maxLoads maximum number of concurrent loads.
 * @param loadTimeout time after which an engine that has not reported the ordered placement may
 * receive another order. It counts as ready only once it reports that placement.
 * @param reportTimeout an engine whose latest report is older than this does not count as ready.
 * @param reportLag longest time until a report reaches this node.
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
    private class ReceivedReport(val report: LoadReport, val receivedAt: Duration)

    /** @property reportSequence sequence of the latest report when the order was sent. */
    private class OpenOrder(
        val placement: Placement,
        val reportSequence: Long,
        val sentAt: Duration
    )

    private val start = timeSource.markNow()
    private val journal = OrderJournal(store, model)
    private val latestReports = HashMap<InstanceId, ReceivedReport>()
    private val openOrders = HashMap<InstanceId, OpenOrder>()
    private var fencingNumber = 0L

    /** Whether orders of earlier holders can no longer take effect. */
    private var earlierOrdersExpired = false

    /** Reports received up to this time may show the state before orders of earlier holders. */
    private var reportsValidAfter = Duration.ZERO
    private var orders = 0

    /** Maintains the lease and reconciles every [interval] until cancelled. */
    public suspend fun run(interval: Duration = 500.milliseconds): Unit = coroutineScope {
        launch { lease.maintain(eligible) }
        while (true) {
            reconcile()
            delay(interval)
        }
    }

    /** Sends the orders that follow from the current reports. */
    public suspend fun reconcile() {
        update()
        val wanted = desired() ?: return
        while (canOrder()) {
            val engines = states()
            if (engines.count { it.target != null } >= maxLoads || isAwaitingReports()) return
            val assignment = ModelReconciler.next(wanted, engines) ?: return
            if (!limiter.tryAcquire() || !send(assignment)) return
        }
    }

    /**
     * Records when each report was received. Drops completed orders, and timed-out orders to
     * engines that are no longer listed.
     */
    private fun update() {
        val now = now()
        for (report in reports().filter { it.model == null || it.model == model }) {
            val known = latestReports[report.instance]
            if (known == null || report.sequence > known.report.sequence) {
                latestReports[report.instance] = ReceivedReport(report, now)
            }
        }
        openOrders.entries.removeIf { (instance, order) ->
            val report = latestReports[instance]?.report
            report != null && report.sequence > order.reportSequence &&
                Placement(report.version.orEmpty(), report.layers ?: NO_LAYERS) == order.placement
        }
        val listed = instances().mapTo(HashSet()) { it.id }
        latestReports.keys.retainAll(listed)
        openOrders.entries.removeIf { (id, order) ->
            id !in listed && now - order.sentAt > loadTimeout
        }
    }

    /** Returns whether the lease is held and the open orders of earlier holders are known. */
    private suspend fun canOrder(): Boolean {
        val number = lease.ifHeld { it } ?: return false
        if (number != fencingNumber || !journal.isOwned) {
            val placements = journal.takeOver(number) ?: return false
            if (number != fencingNumber) takeOver(number, placements)
        }
        if (!earlierOrdersExpired && lease.unfencedOrdersAllowed) {
            earlierOrdersExpired = true
            reportsValidAfter = now() + reportLag
        }
        return true
    }

    /** Takes over the open orders of the previous holder, which are to load [placements]. */
    private fun takeOver(number: Long, placements: Map<String, Placement>) {
        val known = HashMap(openOrders)
        openOrders.clear()
        for ((id, placement) in placements) {
            val instance = InstanceId(id)
            // A known order keeps its time, so that frequent changes of the holder do not delay the
            // retry of a lost order.
            openOrders[instance] = known[instance]?.takeIf { it.placement == placement }
                ?: OpenOrder(placement, latestReports[instance]?.report?.sequence ?: 0, now())
        }
        fencingNumber = number
        earlierOrdersExpired = false
        reportsValidAfter = now() + reportLag
    }

    /**
     * Returns whether reports of some engines are still outstanding. Without them, a layer range
     * that an engine holds would appear to be missing.
     */
    private fun isAwaitingReports() = now() - reportsValidAfter < reportTimeout &&
        instances().any { (latestReports[it.id]?.receivedAt ?: Duration.ZERO) <= reportsValidAfter }

    private fun states(): List<EngineState> {
        val now = now()
        return instances().filter { it.model == null || it.model == model }.map { instance ->
            val known = latestReports[instance.id]
            val order = openOrders[instance.id]
            val fresh = known != null && known.receivedAt > reportsValidAfter &&
                now - known.receivedAt <= reportTimeout
            val serving = fresh && !instance.leaving && !known.report.leaving
            val empty = known?.report?.layers == null
            EngineState(
                instance,
                known?.report?.version,
                known?.report?.layers,
                ready = serving && order == null,
                usable = serving && (earlierOrdersExpired || empty && checksFencing(instance)),
                target = order?.takeIf { now - it.sentAt <= loadTimeout }?.placement
            )
        }
    }

    /** Sends the order for [assignment]. Returns whether further orders may be sent. */
    private suspend fun send(assignment: ModelReconciler.Assignment): Boolean {
        val instance = assignment.engine.instance
        val sequence = latestReports[instance.id]?.report?.sequence ?: 0
        val (version, layers) = assignment.placement
        // Recorded before it is sent: from then on the engine may have unloaded its replica.
        openOrders[instance.id] = OpenOrder(assignment.placement, sequence, now())
        val journaled = openOrders.entries.associate { (id, order) -> id.value to order.placement }
        if (!journal.save(fencingNumber, journaled)) {
            openOrders.remove(instance.id)
            return false
        }
        val outcome = lease.ifHeld { number ->
            if (number != fencingNumber) return@ifHeld ModelOrderOutcome.STALE_FENCING_NUMBER
            val id = "$model-$number-${orders++}"
            order(ModelOrder(id, instance, number, model, version, layers))
        }
        val refused = outcome == null || outcome == ModelOrderOutcome.STALE_FENCING_NUMBER
        if (refused) openOrders.remove(instance.id)
        log.info {
            "platform: order model=$model version=$version layers=$layers " +
                "instance=${instance.id}: ${outcome ?: "lease not held"}"
        }
        return outcome == ModelOrderOutcome.ACCEPTED
    }

    private fun now() = start.elapsedNow()

    private companion object {
        val NO_LAYERS = LayerRange(0, Int.MAX_VALUE)
        val log = KotlinLogging.logger {}
    }
}
