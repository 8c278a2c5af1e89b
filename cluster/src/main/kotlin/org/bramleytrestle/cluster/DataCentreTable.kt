package org.bramleytrestle.cluster

/**
 * Signs of life of the data centres. A counter that stands still means that nobody here can reach
 * the data centre, directly or by way of another one; when it moves again its members are back
 * without any refutation.
 */
internal class DataCentreTable(private val intervals: ClusterIntervals) {
    private class Entry(var counter: Long, var floor: Long, var changedAt: Long)

    private val entries = LinkedHashMap<String, Entry>()

    var version = 0L
        private set

    fun statuses(): List<DataCentreStatus> = entries.filterValues { it.counter > 0 }
        .map { (name, it) -> DataCentreStatus(name, it.counter, it.floor) }

    fun merge(status: DataCentreStatus, now: Long) {
        val entry = entries[status.name]
        when {
            entry == null ->
                entries[status.name] = Entry(status.counter, status.floor, now)
            status.counter > entry.counter -> {
                if (entry.floor != status.floor || state(status.name, now) != MemberState.ALIVE) {
                    version++
                }
                entry.counter = status.counter
                entry.floor = status.floor
                entry.changedAt = now
            }
        }
    }

    /** Called by a delegate of [name] at every heartbeat. */
    fun advance(name: String, floor: Long, now: Long) {
        merge(DataCentreStatus(name, (entries[name]?.counter ?: 0) + 1, floor), now)
    }

    fun floor(name: String): Long = entries[name]?.floor ?: 0

    /** The best state that members of [name] can have. */
    fun state(name: String, now: Long): MemberState {
        // A data centre of which nothing was heard yet ages from the first question on.
        val age = now - entries.getOrPut(name) { Entry(0, 0, now) }.changedAt
        return when {
            age > intervals.dataCentreDead.inWholeMilliseconds -> MemberState.DEAD
            age > intervals.dataCentreSuspect.inWholeMilliseconds -> MemberState.SUSPECT
            else -> MemberState.ALIVE
        }
    }

    /** Does not count time in which this process itself stood still. */
    fun postpone(millis: Long) {
        entries.values.forEach { it.changedAt += millis }
    }

    fun remove(name: String) {
        entries.remove(name)
    }
}
