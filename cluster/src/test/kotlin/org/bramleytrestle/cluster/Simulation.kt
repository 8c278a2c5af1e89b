package org.bramleytrestle.cluster

import java.util.PriorityQueue
import kotlin.random.Random
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * Runs many members on virtual time over a simulated network with delay, loss and broken links.
 * Single-threaded, so that a seed always gives the same run.
 */
internal class Simulation(
    seed: Int,
    private val intervals: ClusterIntervals = ClusterIntervals(),
    private val delayMillis: LongRange = 1L..3L
) {
    private class Event(val at: Long, val order: Long, val action: () -> Unit)

    /** A member. While [paused] it does not run, and frames sent to it are queued. */
    inner class Node(val id: String, val dataCentre: String, val address: String) :
        ClusterCore.Output {
        val listener = RecordingListener()
        lateinit var core: ClusterCore
        var running = true
        var paused = false
        val answers = mutableMapOf<Int, String>()
        val inbox = ArrayList<Pair<String, ByteArray>>()
        var sentBytes = 0L
        var receivedBytes = 0L
        var sentFrames = 0L
        var receivedFrames = 0L
        val view get() = core.members()
        val alive get() = view.values.filter { it.state == MemberState.ALIVE }.map { it.id.value }

        override fun send(to: String, frame: ByteArray, delivery: Delivery) {
            check(frame.size <= TcpConnection.MAX_FRAME_BYTES) { "frame of ${frame.size} bytes" }
            sentBytes += frame.size + LENGTH_BYTES
            sentFrames++
            transmit(address, to, frame)
        }

        override fun replaceIfUnresponsive(to: String) {
            unresponsiveLinks -= setOf(address, to)
        }

        override fun onAnswer(sequence: Int, answer: ByteArray) {
            answers[sequence] = answer.decodeToString()
        }

        fun receive(from: String, frame: ByteArray) {
            if (!running) return
            if (paused) {
                inbox += from to frame
                return
            }
            receivedBytes += frame.size + LENGTH_BYTES
            receivedFrames++
            core.receive(from, frame, now)
        }

        fun tickLoop() {
            if (!running) return
            if (!paused) core.tick(now)
            after(intervals.heartbeat.inWholeMilliseconds / TICKS) { tickLoop() }
        }

        fun resume() {
            paused = false
            inbox.toList().also { inbox.clear() }.forEach { (from, it) -> receive(from, it) }
        }

        fun kill() {
            running = false
            byAddress.remove(address, this)
        }

        fun stop() {
            core.stop()
            kill()
        }

        fun change(revision: Long) {
            listener.onChanges(listOf(change(revision, "test")))
            core.pushChanges(listOf(org.bramleytrestle.cluster.change(revision)))
        }
    }

    val random = Random(seed)
    var now = 0L
        private set
    var lossProbability = 0.0

    /** Pairs of addresses whose current connection delivers nothing until it is replaced. */
    val unresponsiveLinks = HashSet<Set<String>>()
    var isLinkDown: (Node, Node) -> Boolean = { _, _ -> false }
    private val byAddress = HashMap<String, Node>()
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    val nodes: Collection<Node> get() = byAddress.values
    val live: List<Node> get() = byAddress.values.filter { !it.paused }.sortedBy { it.id }

    fun add(
        id: String,
        dataCentre: String,
        seeds: List<String>,
        address: String = "$id:7000",
        startSeconds: Long = START_SECONDS + now / 1_000,
        wantsReport: (InstanceId, InstanceId) -> Boolean = { _, _ -> true }
    ): Node {
        val node = Node(id, dataCentre, address)
        node.core = ClusterCore(
            ClusterSettings(
                InstanceId(id),
                DataCentre(dataCentre),
                listenAddress = address,
                callerAddress = "http://$id:8080",
                secret = ByteArray(0),
                seeds = seeds,
                intervals = intervals
            ),
            node.listener,
            Random(random.nextInt()),
            node,
            startSeconds,
            now,
            Clusters.REPORT_BYTES_PER_SECOND,
            wantsReport
        )
        byAddress[address] = node
        after(random.nextLong(1, intervals.heartbeat.inWholeMilliseconds / TICKS)) {
            node.tickLoop()
        }
        return node
    }

    /** Adds [count] members spread over [dataCentres], with the first three as their seeds. */
    fun addAll(count: Int, dataCentres: Int): List<Node> {
        val seeds = List(minOf(count, 3)) { "${name(it)}:7000" }
        return List(count) { add(name(it), "dc-${it % dataCentres}", seeds) }
    }

    fun name(index: Int): String = "entry-" + index.toString().padStart(4, '0')

    fun after(millis: Long, action: () -> Unit) {
        events += Event(now + millis, order++, action)
    }

    fun run(millis: Long) {
        val end = now + millis
        while (true) {
            val event = events.peek() ?: break
            if (event.at > end) break
            events.remove()
            now = event.at
            event.action()
        }
        now = end
    }

    /** Runs until [condition] holds, checked every 50 ms; returns the time, or null at [limit]. */
    fun runUntil(limit: Long, condition: () -> Boolean): Long? {
        val start = now
        while (now - start <= limit) {
            if (condition()) return now - start
            run(STEP_MILLIS)
        }
        return null
    }

    /** Whether every running member sees exactly the running members as alive. */
    fun converged(among: Collection<Node> = live): Boolean {
        val expected = among.mapTo(HashSet()) { it.id }
        return among.all { node ->
            val alive = node.alive
            alive.size == expected.size && expected.containsAll(alive)
        }
    }

    private fun transmit(from: String, to: String, frame: ByteArray) {
        val target = byAddress[to] ?: return
        if (random.nextDouble() < lossProbability || setOf(from, to) in unresponsiveLinks) return
        val source = byAddress[from]
        if (source != null && isLinkDown(source, target)) return
        after(random.nextLong(delayMillis.first, delayMillis.last + 1)) {
            target.receive(from, frame)
        }
    }

    companion object {
        private const val TICKS = 5
        private const val LENGTH_BYTES = 4
        private const val STEP_MILLIS = 50L
        private const val START_SECONDS = 1_700_000_000L
    }
}
