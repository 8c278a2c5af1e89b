package org.bramleytrestle.cluster

import kotlin.random.Random

/** SWIM failure detector: probes the other members of this data centre in turn. */
internal class FailureDetector(
    private val table: MemberTable,
    private val intervals: ClusterIntervals,
    private val random: Random,
    private val sender: Sender,
    private val replaceIfUnresponsive: (String) -> Unit
) {
    private class Probe(val target: MemberRecord, val sentAt: Long, var indirect: Boolean = false)
    private class RelayedProbe(val to: String, val sequence: Int, val sentAt: Long)

    private val probeOrder = ArrayDeque<String>()
    private val probes = HashMap<Int, Probe>()
    private val relayedProbes = HashMap<Int, RelayedProbe>()
    private var lastSequence = 0

    /** Probes the next member in the probe order. */
    fun probe(now: Long) {
        val target = nextTarget() ?: return
        val sequence = ++lastSequence
        probes[sequence] = Probe(target, now)
        sender.send(target.address) { Ping(it, sequence) }
    }

    /** Pings [address] outside the probe order; a missing acknowledgement raises no suspicion. */
    fun ping(address: String) {
        val sequence = ++lastSequence
        sender.send(address) { Ping(it, sequence) }
    }

    fun onPingRequest(from: String, message: PingRequest, now: Long) {
        val sequence = ++lastSequence
        relayedProbes[sequence] = RelayedProbe(from, message.sequence, now)
        sender.send(message.target) { Ping(it, sequence) }
    }

    fun onAck(sequence: Int) {
        probes.remove(sequence)
        relayedProbes.remove(sequence)?.let { relay ->
            sender.send(relay.to) { Ack(it, relay.sequence) }
        }
    }

    fun tick(now: Long) {
        for ((sequence, probe) in probes.entries.toList()) {
            val age = now - probe.sentAt
            if (age >= intervals.heartbeat.inWholeMilliseconds) {
                probes.remove(sequence)
                if (table[probe.target.id] === probe.target) table.suspect(probe.target, now)
            } else if (!probe.indirect && age >= intervals.probeTimeout.inWholeMilliseconds) {
                probe.indirect = true
                probeIndirectly(sequence, probe.target)
            }
        }
        relayedProbes.values.removeIf { now - it.sentAt >= intervals.heartbeat.inWholeMilliseconds }
    }

    /** Discards probes whose acknowledgements may have been delayed by a pause of this process. */
    fun reset() {
        probes.clear()
        relayedProbes.clear()
    }

    private fun probeIndirectly(sequence: Int, target: MemberRecord) {
        // The connection may be at fault rather than the member.
        replaceIfUnresponsive(target.address)
        sender.send(target.address) { Ping(it, sequence) }
        table.localPeers().filter { it !== target && it.state != MemberState.SUSPECT }
            .shuffled(random).take(INDIRECT_PROBES)
            .forEach { helper ->
                sender.send(helper.address) { PingRequest(it, sequence, target.address) }
            }
    }

    /**
     * Returns the next member to probe. The order is random, but each member is probed once per
     * round, which bounds the time between its probes.
     */
    private fun nextTarget(): MemberRecord? {
        repeat(2) {
            while (probeOrder.isNotEmpty()) {
                val record = table[probeOrder.removeFirst()] ?: continue
                if (record !== table.self && record.state != MemberState.DEAD) return record
            }
            probeOrder += table.localPeers().map { it.id }.shuffled(random)
        }
        return null
    }

    private companion object {
        const val INDIRECT_PROBES = 2
    }
}
