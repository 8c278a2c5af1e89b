package org.bramleytrestle.cluster

import kotlin.random.Random

/** Probes the members of the own data centre one after another (SWIM). */
internal class FailureDetector(
    private val table: MemberTable,
    private val intervals: ClusterIntervals,
    private val random: Random,
    private val sender: Sender,
    private val replaceIfSilent: (String) -> Unit
) {
    private class Probe(val target: MemberRecord, val sentAt: Long, var indirect: Boolean = false)
    private class Relay(val to: String, val sequence: Int, val sentAt: Long)

    private val order = ArrayDeque<String>()
    private val probes = HashMap<Int, Probe>()
    private val relays = HashMap<Int, Relay>()
    private var lastSequence = 0

    /** Starts the next probe. */
    fun probe(now: Long) {
        val target = next() ?: return
        val sequence = ++lastSequence
        probes[sequence] = Probe(target, now)
        sender.send(target.address) { Ping(it, sequence) }
    }

    /** A probe outside the order, such as one to another data centre; nothing follows from it. */
    fun greet(address: String) {
        val sequence = ++lastSequence
        sender.send(address) { Ping(it, sequence) }
    }

    fun onPingRequest(from: String, message: PingRequest, now: Long) {
        val sequence = ++lastSequence
        relays[sequence] = Relay(from, message.sequence, now)
        sender.send(message.target) { Ping(it, sequence) }
    }

    fun onAck(sequence: Int) {
        probes.remove(sequence)
        relays.remove(sequence)?.let { relay ->
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
        relays.values.removeIf { now - it.sentAt >= intervals.heartbeat.inWholeMilliseconds }
    }

    /** Forgets probes whose answers may have waited while this process stood still. */
    fun reset() {
        probes.clear()
        relays.clear()
    }

    private fun probeIndirectly(sequence: Int, target: MemberRecord) {
        // The silence may be the connection's and not the member's.
        replaceIfSilent(target.address)
        sender.send(target.address) { Ping(it, sequence) }
        table.neighbours().filter { it !== target && it.state != MemberState.SUSPECT }
            .shuffled(random).take(INDIRECT_PROBES)
            .forEach { helper ->
                sender.send(helper.address) { PingRequest(it, sequence, target.address) }
            }
    }

    /** Random order, but each member once per round, which bounds the time to the next probe. */
    private fun next(): MemberRecord? {
        repeat(2) {
            while (order.isNotEmpty()) {
                val record = table[order.removeFirst()] ?: continue
                if (record !== table.self && record.state != MemberState.DEAD) return record
            }
            order += table.neighbours().map { it.id }.shuffled(random)
        }
        return null
    }

    private companion object {
        const val INDIRECT_PROBES = 2
    }
}
