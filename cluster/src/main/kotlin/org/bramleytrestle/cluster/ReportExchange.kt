package org.bramleytrestle.cluster

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/**
 * Sends load reports in batches to the members that need them. Fields that seldom change are sent
 * to a member only when they changed and every few seconds. When reports exceed the byte budget
 * they wait, and a newer report of the same server replaces the waiting one.
 *
 * @param wants whether a member needs the reports of a server.
 */
internal class ReportExchange(
    private val listener: ClusterListener,
    private val sender: Sender,
    private val bytesPerSecond: Int,
    private val wants: (member: InstanceId, server: InstanceId) -> Boolean
) {
    private class Known(var sequence: Long, var takenAt: Long, var fixed: WireReportFixed?) {
        var heardAt = 0L
    }

    private class Sent(val fixed: WireReportFixed, val at: Long)

    private val known = HashMap<String, Known>()
    private val sent = HashMap<String, HashMap<String, Sent>>()
    private val waiting = LinkedHashMap<String, LinkedHashMap<String, LoadReport>>()
    private var budget = bytesPerSecond.toLong()
    private var filledAt = 0L

    fun share(reports: List<LoadReport>, targets: Collection<MemberRecord>, now: Long) {
        for (report in reports) {
            if (!note(report, now)) continue
            for (target in targets) {
                if (!wants(InstanceId(target.id), report.instance)) continue
                waiting.getOrPut(target.address) { LinkedHashMap() }[report.instance.value] =
                    report
            }
        }
    }

    /** Sends what waits, as far as the byte budget allows. */
    fun flush(now: Long) {
        refill(now)
        val addresses = waiting.keys.toList()
        for (address in addresses) {
            if (budget <= 0) return
            val reports = waiting.remove(address) ?: continue
            val list = reports.values.toList()
            val base = list.maxOf { it.takenAtMillis }
            budget -= sender.sendBody(address, Delivery.REPLACEABLE) { exchange ->
                Reports(exchange, base, list.map { toWire(it, base, address, now) })
            }
        }
    }

    fun onReports(message: Reports, now: Long) {
        val news = message.reports.mapNotNull { toReport(it, message.baseMillis) }
            .filter { note(it, now) }
        if (news.isNotEmpty()) listener.onReports(news)
    }

    /** Drops what is kept for members and servers that are gone. */
    fun forget(addresses: Set<String>, now: Long) {
        sent.keys.retainAll(addresses)
        waiting.keys.retainAll(addresses)
        known.values.removeIf { now - it.heardAt > FORGET_MILLIS }
    }

    /** Whether [report] is newer than the last one of its server. */
    private fun note(report: LoadReport, now: Long): Boolean {
        val last = known[report.instance.value]
        // A restarted server counts from the start again.
        val restarted = last != null && report.takenAtMillis > last.takenAt + RESTART_MILLIS
        if (last != null && report.sequence <= last.sequence && !restarted) return false
        val entry = last ?: Known(0, 0, null).also { known[report.instance.value] = it }
        entry.sequence = report.sequence
        entry.takenAt = report.takenAtMillis
        entry.fixed = report.fixed()
        entry.heardAt = now
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
        const val MILLIS_PER_SECOND = 1_000
        const val REFRESH_MILLIS = 8_000L
        const val RESTART_MILLIS = 5_000L
        const val FORGET_MILLIS = 600_000L
    }
}
