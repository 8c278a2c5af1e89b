package org.bramleytrestle.cluster

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/**
 * Sends load reports in batches to the members that need them. Fields that rarely change are sent
 * to a member only after a change and every few seconds. Of the two members that poll a server, the
 * backup sends only while it receives no reports from the primary. Reports beyond the byte budget
 * are queued, and a newer report of a server replaces the queued one.
 *
 * @param bytesPerSecond byte budget, which includes an estimate of the TCP and IP headers.
 * @param wants whether a member needs the reports of a server.
 */
internal class ReportExchange(
    private val listener: ClusterListener,
    private val sender: Sender,
    private val bytesPerSecond: Int,
    private val wants: (member: InstanceId, server: InstanceId) -> Boolean
) {
    private class ServerState {
        var sequence = 0L
        var takenAt = 0L
        var leaving = false
        var fixed: WireReportFixed? = null
        var updatedAt = 0L

        /** Time of the last new report of the server from a peer. */
        var lastPeerReportAt = NEVER
    }

    private class SentFields(val fixed: WireReportFixed, val at: Long)

    private val serverStates = HashMap<String, ServerState>()
    private val sent = HashMap<String, HashMap<String, SentFields>>()
    private val waiting = LinkedHashMap<String, LinkedHashMap<String, LoadReport>>()
    private var budget = bytesPerSecond.toLong()
    private var refilledAt = 0L

    /**
     * @param isBackup whether this member polls the server as the backup of another one.
     * @param isReporter whether a member is one of those that poll the server.
     */
    fun share(
        reports: List<LoadReport>,
        targets: Collection<MemberRecord>,
        isBackup: (InstanceId) -> Boolean,
        isReporter: (MemberRecord, InstanceId) -> Boolean,
        now: Long
    ) {
        for (report in reports) {
            val server = report.instance
            val last = serverStates[server.value]
            val coveredByPeer = last != null && now - last.lastPeerReportAt <= FAILOVER_MILLIS &&
                last.leaving == report.leaving
            if (!recordIfNewer(report, now) || (coveredByPeer && isBackup(server))) continue
            for (target in targets) {
                if (!wants(InstanceId(target.id), server) && !isReporter(target, server)) continue
                waiting.getOrPut(target.address) { LinkedHashMap() }[server.value] = report
            }
        }
    }

    /** Sends queued reports as far as the byte budget allows. */
    fun flush(now: Long) {
        refill(now)
        val addresses = waiting.keys.toList()
        for (address in addresses) {
            if (budget <= 0) return
            val reports = waiting.getValue(address)
            val batch = reports.values.take(MAX_BATCH_SIZE)
            batch.forEach { reports.remove(it.instance.value) }
            if (reports.isEmpty()) waiting.remove(address)
            val base = batch.maxOf { it.takenAtMillis }
            budget -= HEADER_BYTES + sender.sendBody(address, Delivery.REPLACEABLE) { exchange ->
                Reports(exchange, base, batch.map { toWire(it, base, address, now) })
            }
        }
    }

    fun onReports(message: Reports, now: Long) {
        val newReports = message.reports.mapNotNull { toReport(it, message.baseMillis) }
            .filter { recordIfNewer(it, now) }
            .onEach { serverStates.getValue(it.instance.value).lastPeerReportAt = now }
        if (newReports.isNotEmpty()) listener.onReports(newReports)
    }

    /** Removes state of addresses not in [addresses] and of servers without recent reports. */
    fun removeStaleState(addresses: Set<String>, now: Long) {
        sent.keys.retainAll(addresses)
        waiting.keys.retainAll(addresses)
        serverStates.values.removeIf { now - it.updatedAt > STATE_RETENTION_MILLIS }
    }

    /** Records [report] and returns true if it is newer than the last one of its server. */
    private fun recordIfNewer(report: LoadReport, now: Long): Boolean {
        val last = serverStates[report.instance.value]
        // The sequence of a restarted server starts again from its initial value.
        val restarted = last != null && report.takenAtMillis > last.takenAt + RESTART_GAP_MILLIS
        if (last != null && report.sequence <= last.sequence && !restarted) return false
        val entry = last ?: ServerState().also { serverStates[report.instance.value] = it }
        entry.sequence = report.sequence
        entry.takenAt = report.takenAtMillis
        entry.fixed = report.fixed()
        entry.leaving = report.leaving
        entry.updatedAt = now
        return true
    }

    private fun refill(now: Long) {
        val added = (now - refilledAt) * bytesPerSecond / MILLIS_PER_SECOND
        if (added <= 0) return
        refilledAt = now
        budget = minOf(budget + added, bytesPerSecond.toLong())
    }

    private fun toWire(report: LoadReport, base: Long, to: String, now: Long): WireReport {
        val fixed = report.fixed()
        val sentTo = sent.getOrPut(to) { HashMap() }
        val last = sentTo[report.instance.value]
        val fixedNeeded = last == null || last.fixed != fixed ||
            now - last.at > FIXED_REFRESH_MILLIS
        if (fixedNeeded) sentTo[report.instance.value] = SentFields(fixed, now)
        return WireReport(
            instance = report.instance.value,
            sequence = report.sequence,
            ageMillis = base - report.takenAtMillis,
            running = report.running,
            waiting = report.waiting,
            microsPerLayer = report.microsPerLayer,
            queueMicros = report.queueMicros,
            leaving = report.leaving,
            fixed = fixed.takeIf { fixedNeeded }
        )
    }

    private fun toReport(wire: WireReport, base: Long): LoadReport? {
        val fixed = wire.fixed ?: serverStates[wire.instance]?.fixed ?: return null
        val from = fixed.layersFrom
        val until = fixed.layersUntil
        return LoadReport(
            instance = InstanceId(wire.instance),
            model = fixed.model?.let(::ModelName),
            version = fixed.version,
            layers = if (from != null && until != null) LayerRange(from, until) else null,
            accelerator = fixed.accelerator,
            running = wire.running,
            waiting = wire.waiting,
            slots = fixed.slots,
            microsPerLayer = wire.microsPerLayer,
            queueMicros = wire.queueMicros,
            leaving = wire.leaving,
            takenAtMillis = base - wire.ageMillis,
            sequence = wire.sequence
        )
    }

    private fun LoadReport.fixed() = WireReportFixed(
        model?.value,
        version,
        layers?.from,
        layers?.until,
        accelerator,
        slots
    )

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Time without reports from the primary after which the backup sends. */
        const val FAILOVER_MILLIS = 2_000L

        /** Limit for the reports of one message; the budget is checked between messages. */
        const val MAX_BATCH_SIZE = 64

        /** Estimated size of the TCP and IP headers of a packet and of its acknowledgement. */
        const val HEADER_BYTES = 80
        const val MILLIS_PER_SECOND = 1_000
        const val FIXED_REFRESH_MILLIS = 8_000L
        const val RESTART_GAP_MILLIS = 5_000L
        const val STATE_RETENTION_MILLIS = 600_000L
    }
}
