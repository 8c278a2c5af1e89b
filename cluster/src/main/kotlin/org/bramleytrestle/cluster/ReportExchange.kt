package org.bramleytrestle.cluster

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/**
 * Sends load reports in batches to the members that need them. Fields that seldom change are sent
 * to a member only when they changed and every few seconds. Of the two members that poll a server
 * the second one sends only while it hears nothing from the first. When reports exceed the byte
 * budget they wait, and a newer report of the same server replaces the waiting one.
 *
 * @param bytesPerSecond budget; an estimate of the TCP and IP headers counts.
 * @param wants whether a member needs the reports of a server.
 */
internal class ReportExchange(
    private val listener: ClusterListener,
    private val sender: Sender,
    private val bytesPerSecond: Int,
    private val wants: (member: InstanceId, server: InstanceId) -> Boolean
) {
    private class Known {
        var sequence = 0L
        var takenAt = 0L
        var leaving = false
        var fixed: WireReportFixed? = null
        var notedAt = 0L

        /** When a peer last sent a new report of the server. */
        var heardAt = NEVER
    }

    private class Sent(val fixed: WireReportFixed, val at: Long)

    private val known = HashMap<String, Known>()
    private val sent = HashMap<String, HashMap<String, Sent>>()
    private val waiting = LinkedHashMap<String, LinkedHashMap<String, LoadReport>>()
    private var budget = bytesPerSecond.toLong()
    private var filledAt = 0L

    /**
     * @param standIn whether another member polls the server first.
     * @param isReporter whether a member polls the server too.
     */
    fun share(
        reports: List<LoadReport>,
        targets: Collection<MemberRecord>,
        standIn: (InstanceId) -> Boolean,
        isReporter: (MemberRecord, InstanceId) -> Boolean,
        now: Long
    ) {
        for (report in reports) {
            val server = report.instance
            val last = known[server.value]
            val told = last != null && now - last.heardAt <= STAND_IN_MILLIS &&
                last.leaving == report.leaving
            if (!note(report, now) || (told && standIn(server))) continue
            for (target in targets) {
                if (!wants(InstanceId(target.id), server) && !isReporter(target, server)) continue
                waiting.getOrPut(target.address) { LinkedHashMap() }[server.value] = report
            }
        }
    }

    /** Sends what waits, as far as the byte budget allows. */
    fun flush(now: Long) {
        refill(now)
        val addresses = waiting.keys.toList()
        for (address in addresses) {
            if (budget <= 0) return
            val reports = waiting.getValue(address)
            val batch = reports.values.take(BATCH)
            batch.forEach { reports.remove(it.instance.value) }
            if (reports.isEmpty()) waiting.remove(address)
            val base = batch.maxOf { it.takenAtMillis }
            budget -= HEADER_BYTES + sender.sendBody(address, Delivery.REPLACEABLE) { exchange ->
                Reports(exchange, base, batch.map { toWire(it, base, address, now) })
            }
        }
    }

    fun onReports(message: Reports, now: Long) {
        val news = message.reports.mapNotNull { toReport(it, message.baseMillis) }
            .filter { note(it, now) }
            .onEach { known.getValue(it.instance.value).heardAt = now }
        if (news.isNotEmpty()) listener.onReports(news)
    }

    /** Drops what is kept for members and servers that are gone. */
    fun forget(addresses: Set<String>, now: Long) {
        sent.keys.retainAll(addresses)
        waiting.keys.retainAll(addresses)
        known.values.removeIf { now - it.notedAt > FORGET_MILLIS }
    }

    /** Whether [report] is newer than the last one of its server. */
    private fun note(report: LoadReport, now: Long): Boolean {
        val last = known[report.instance.value]
        // A restarted server counts from the start again.
        val restarted = last != null && report.takenAtMillis > last.takenAt + RESTART_MILLIS
        if (last != null && report.sequence <= last.sequence && !restarted) return false
        val entry = last ?: Known().also { known[report.instance.value] = it }
        entry.sequence = report.sequence
        entry.takenAt = report.takenAtMillis
        entry.fixed = report.fixed()
        entry.leaving = report.leaving
        entry.notedAt = now
        return true
    }

    private fun refill(now: Long) {
        val added = (now - filledAt) * bytesPerSecond / MILLIS_PER_SECOND
        if (added <= 0) return
        filledAt = now
        budget = minOf(budget + added, bytesPerSecond.toLong())
    }

    private fun toWire(report: LoadReport, base: Long, to: String, now: Long): WireReport {
        val fixed = report.fixed()
        val sentTo = sent.getOrPut(to) { HashMap() }
        val last = sentTo[report.instance.value]
        val fixedNeeded = last == null || last.fixed != fixed || now - last.at > REFRESH_MILLIS
        if (fixedNeeded) sentTo[report.instance.value] = Sent(fixed, now)
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
        val fixed = wire.fixed ?: known[wire.instance]?.fixed ?: return null
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

        /** Silence of the first reporter after which the second one sends. */
        const val STAND_IN_MILLIS = 2_000L

        /** Most reports of one message; the budget is checked between messages. */
        const val BATCH = 64

        /** TCP and IP headers of a packet and of its acknowledgement, as an estimate. */
        const val HEADER_BYTES = 80
        const val MILLIS_PER_SECOND = 1_000
        const val REFRESH_MILLIS = 8_000L
        const val RESTART_MILLIS = 5_000L
        const val FORGET_MILLIS = 600_000L
    }
}
