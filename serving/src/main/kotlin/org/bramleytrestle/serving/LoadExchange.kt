package org.bramleytrestle.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Passes the load reports of model servers between nodes.
 *
 * A server states its load only in its answers, so a node among many learns of it rarely and of
 * other nodes' requests not at all. A report carries its age, so clocks need not agree, and an
 * older report never replaces a newer one.
 *
 * @param nodeCount number of nodes that callers use. With few of them, a node's own reports suffice
 * and none are passed on.
 */
public class LoadExchange(
    private val loads: ServerLoads,
    private val fleet: () -> Fleet,
    private val nodeCount: () -> Int
) {
    /** Reports that this node itself received. */
    internal fun own(): List<LoadSample> = samples(ownOnly = true)

    /** Reports of all nodes, as far as this one knows them. */
    internal fun all(): List<LoadSample> = samples(ownOnly = false)

    private fun samples(ownOnly: Boolean): List<LoadSample> {
        if (nodeCount() < MIN_NODES) return emptyList()
        return loads.samples(MAX_AGE, ownOnly).sortedBy { it.ageMillis }.take(MAX_SAMPLES)
    }

    /** Whether reports are worth the questions of readers that carry nothing else. */
    internal val isUseful: Boolean get() = nodeCount() >= MIN_NODES

    /** Uses reports that other nodes passed on, if the same start of the server still runs. */
    internal fun apply(samples: List<LoadSample>) {
        val byId = fleet().byId
        for (sample in samples) {
            val server = byId[sample.id]?.takeIf { it.bornMillis == sample.bornMillis } ?: continue
            if (sample.ageMillis in 0..MAX_AGE.inWholeMilliseconds) {
                loads.of(server).learned(sample)
            }
        }
        if (samples.isNotEmpty()) loads.onRoom()
    }

    private companion object {
        /** With an older report, a node's own requests in flight say more. */
        val MAX_AGE: Duration = 1.seconds

        /** With fewer nodes, one gets an answer of each busy chain about every second. */
        const val MIN_NODES = 12

        /** Bounds the size of a message to a few kilobytes. */
        const val MAX_SAMPLES = 64
    }
}
