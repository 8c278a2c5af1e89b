package org.bramleytrestle.serving

/**
 * Part of all requests that a node of [dataCentre] is expected to receive, from 0 to 1. Callers are
 * assumed to use the nodes of their own data centre, and data centres to have similar load.
 *
 * A node that cannot reach the others must not take their part, so the registered nodes count too,
 * and the share is 0 as long as they are not known.
 *
 * @param live nodes that callers may use, as far as this node knows.
 * @param registered nodes in the store's list; empty if it has not been read.
 */
public fun expectedShare(
    dataCentre: String,
    live: List<EntryNode>,
    registered: List<NodeRegistration>
): Double {
    if (registered.isEmpty()) return 0.0
    val byDataCentre = live.groupBy { it.dataCentre }
    val localNodes = byDataCentre[dataCentre]?.size ?: 1
    val liveNodes = maxOf(1, byDataCentre.size) * localNodes
    val knownNodes = (live.map { it.id } + registered.map { it.id }).toSet().size
    return 1.0 / maxOf(liveNodes, knownNodes)
}
