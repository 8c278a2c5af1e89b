package org.bramleytrestle.cluster

/**
 * Heartbeat counters of the data centres. A counter that stops increasing means that the data
 * centre cannot be reached from here, neither directly nor through another one. Once it increases
 * again, its members are back in their own states without having to refute anything.
 */
internal class DataCentreTable(private val intervals: ClusterIntervals) {
    private class Entry(var counter: Long, var minRevision: Long, var changedAt: Long)

    private val entries = LinkedHashMap<String, Entry>()

    var version = 0L
        private set

    fun statuses(): List<DataCentreStatus> = entries.filterValues { it.counter > 0 }
        .map { (name, it) -> DataCentreStatus(name, it.counter, it.minRevision) }

    fun merge(status: DataCentreStatus, now: Long) {
        val entry = entries[status.name]
        when {
            entry == null ->
                entries[status.name] = Entry(status.counter, status.floor, now)
            status.counter > entry.counter -> {
                if (
                    entry.minRevision != status.floor ||
                    state(status.name, now) != MemberState.ALIVE
                ) {
                    version++
                }
                entry.counter = status.counter
                entry.minRevision = status.floor
                entry.changedAt = now
            }
        }
    }

    /** Increments the counter of [name]; called by its delegates at every heartbeat. */
    fun advance(name: String, minRevision: Long, now: Long) {
        merge(DataCentreStatus(name, (entries[name]?.counter ?: 0) + 1, minRevision), now)
    }

    /** Lowest revision that the live members of [name] have applied. */
    fun minRevision(name: String): Long = entries[name]?.minRevision ?: 0

    /** Most favourable state that the members of [name] can be in. */
    fun state(name: String, now: Long): MemberState {
        // Without any status so far, the time-outs run from the first query for the data centre.
        val age = now - entries.getOrPut(name) { Entry(0, 0, now) }.changedAt
        return when {
            age > intervals.dataCentreDead.inWholeMilliseconds -> MemberState.DEAD
            age > intervals.dataCentreSuspect.inWholeMilliseconds -> MemberState.SUSPECT
            else -> MemberState.ALIVE
        }
    }

    /** Excludes [millis] for which this process itself was paused from the time-outs. */
    fun excludePause(millis: Long) {
        entries.values.forEach { it.changedAt += millis }
    }

    fun remove(name: String) {
        entries.remove(name)
    }
}
