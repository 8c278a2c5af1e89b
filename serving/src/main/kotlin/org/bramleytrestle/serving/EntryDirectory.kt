package org.bramleytrestle.serving

/**
 * Lists the nodes that callers should connect to.
 *
 * Traffic between data centres is billed, so a caller gets the nodes of its own data centre. If
 * there are too few of them to leave an alternative, it gets the nodes of all data centres.
 *
 * @param ready whether this node accepts requests.
 */
public class EntryDirectory(
    private val own: EntryNode,
    private val others: () -> List<EntryNode>,
    private val ready: () -> Boolean
) {
    /** Addresses for a caller in [dataCentre]; empty if no node is known to accept requests. */
    public fun addresses(dataCentre: String?): List<String> {
        val known = others().filter { it.id != own.id } + listOfNotNull(own.takeIf { ready() })
        val sorted = known.sortedBy { it.id }
        val local = sorted.filter { it.dataCentre == dataCentre }
        val chosen = if (local.size >= MIN_LOCAL_NODES) local else sorted
        return chosen.take(MAX_ADDRESSES).map { it.address }
    }

    private companion object {
        /** With two nodes a caller has an alternative when one fails. */
        const val MIN_LOCAL_NODES = 2

        /** Callers read at most this many addresses from one list. */
        const val MAX_ADDRESSES = 64
    }
}
