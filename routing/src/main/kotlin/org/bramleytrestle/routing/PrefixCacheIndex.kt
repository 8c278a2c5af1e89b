package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/**
 * Index of the prompt prefixes in engine caches, built from cache events that arrive late and with
 * gaps. A gap may hide evictions, so it discards all entries of that instance.
 *
 * @param capacity maximum number of pairs of instance and prefix; the oldest are evicted first.
 */
public class PrefixCacheIndex(private val capacity: Int = DEFAULT_CAPACITY) {
    private data class Entry(val instance: InstanceId, val prefixHash: Long)

    private val entries = LinkedHashSet<Entry>()
    private val entriesByInstance = HashMap<InstanceId, MutableSet<Entry>>()
    private val lastSequences = HashMap<InstanceId, Long>()
    private var cachedHints: PrefixHints? = PrefixHints.NONE

    /** Applies a batch of events of one instance in order. */
    @Synchronized
    public fun apply(instance: InstanceId, events: List<PrefixEvent>) {
        for (event in events) {
            val last = lastSequences[instance]
            if (last == event.sequence) continue
            // A lower sequence number means a restarted engine, whose cache is empty.
            if (last != null && event.sequence != last + 1) removeInstance(instance)
            lastSequences[instance] = event.sequence
            val entry = Entry(instance, event.prefixHash)
            remove(entry)
            if (event.stored) add(entry)
        }
    }

    /** Removes instances that are not in [known], so that replaced ones do not accumulate. */
    @Synchronized
    public fun retain(known: Set<InstanceId>) {
        lastSequences.keys.filterNot { it in known }.forEach { removeInstance(it) }
    }

    /** The current hints; rebuilt at most once per change. */
    @Synchronized
    public fun hints(): PrefixHints = cachedHints ?: PrefixHints(
        entries.groupBy({ it.prefixHash }, { it.instance })
    ).also { cachedHints = it }

    private fun add(entry: Entry) {
        while (entries.size >= capacity) remove(entries.first())
        entries += entry
        entriesByInstance.getOrPut(entry.instance) { LinkedHashSet() } += entry
        cachedHints = null
    }

    private fun remove(entry: Entry) {
        if (!entries.remove(entry)) return
        entriesByInstance.getValue(entry.instance) -= entry
        cachedHints = null
    }

    private fun removeInstance(instance: InstanceId) {
        entriesByInstance.remove(instance)?.forEach { entries -= it }
        lastSequences -= instance
        cachedHints = null
    }

    private companion object {
        /** Takes about 4 MB; rebuilding the hints takes about a millisecond. */
        const val DEFAULT_CAPACITY = 16_384
    }
}
