package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/**
 * Hints about prefixes in engine caches, from cache events that arrive late and with gaps. A gap
 * may hide evictions, so it expires everything known of that instance.
 *
 * @param capacity most pairs of instance and prefix; the oldest are dropped first.
 */
public class PrefixCacheIndex(private val capacity: Int = DEFAULT_CAPACITY) {
    private data class Entry(val instance: InstanceId, val prefixHash: Long)

    private val entries = LinkedHashSet<Entry>()
    private val ofInstance = HashMap<InstanceId, MutableSet<Entry>>()
    private val sequences = HashMap<InstanceId, Long>()
    private var current: PrefixHints? = PrefixHints.NONE

    /** Applies one batch of an instance's events in order. */
    @Synchronized
    public fun apply(instance: InstanceId, events: List<PrefixEvent>) {
        for (event in events) {
            val last = sequences[instance]
            if (last == event.sequence) continue
            // A lower sequence is a restarted engine, whose cache is empty.
            if (last != null && event.sequence != last + 1) forget(instance)
            sequences[instance] = event.sequence
            val entry = Entry(instance, event.prefixHash)
            remove(entry)
            if (event.stored) add(entry)
        }
    }

    /** Drops instances outside [known], so that replaced ones don't accumulate. */
    @Synchronized
    public fun retain(known: Set<InstanceId>) {
        sequences.keys.filterNot { it in known }.forEach { forget(it) }
    }

    /** The hints now; built at most once per change. */
    @Synchronized
    public fun hints(): PrefixHints = current ?: PrefixHints(
        entries.groupBy({ it.prefixHash }, { it.instance })
    ).also { current = it }

    private fun add(entry: Entry) {
        while (entries.size >= capacity) remove(entries.first())
        entries += entry
        ofInstance.getOrPut(entry.instance) { LinkedHashSet() } += entry
        current = null
    }

    private fun remove(entry: Entry) {
        if (!entries.remove(entry)) return
        ofInstance.getValue(entry.instance) -= entry
        current = null
    }

    private fun forget(instance: InstanceId) {
        ofInstance.remove(instance)?.forEach { entries -= it }
        sequences -= instance
        current = null
    }

    private companion object {
        /** About 4 MB, and a rebuild of the hints in about a millisecond. */
        const val DEFAULT_CAPACITY = 16_384
    }
}
