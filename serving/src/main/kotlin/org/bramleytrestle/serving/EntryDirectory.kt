package org.bramleytrestle.serving

/**
 * Tells callers which nodes to use: those of their own data centre, as bytes between data centres
 * are paid for, and others too if that leaves no second choice.
 *
 * @param ready whether this node itself takes work.
 */
public class EntryDirectory(
    private val own: EntryNode,
    private val others: () -> List<EntryNode>,
    private val ready: () -> Boolean
) {
    /** Addresses for a caller in [dataCentre]; empty if no node is known to take work. */
    public fun addresses(dataCentre: String?): List<String> {
        val known = others().filter { it.id != own.id } + listOfNotNull(own.takeIf { ready() })
        val sorted = known.sortedBy { it.id }
        val near = sorted.filter { it.dataCentre == dataCentre }
        val chosen = if (near.size >= ENOUGH) near else sorted
        return chosen.take(MOST).map { it.address }
    }

    private companion object {
        /** With two nodes a caller has another choice when one fails. */
        const val ENOUGH = 2

        /** Addresses that callers take from one list. */
        const val MOST = 64
    }
}
