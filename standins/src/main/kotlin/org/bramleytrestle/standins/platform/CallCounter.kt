package org.bramleytrestle.standins.platform

import java.util.TreeMap

internal class CallCounter(private val nowMillis: () -> Long = System::currentTimeMillis) {
    private val byOperation = TreeMap<String, Long>()
    private val byKind = TreeMap<String, Long>()
    private val bySecond = TreeMap<Long, TreeMap<String, Long>>()
    private var openWatches = 0

    @Synchronized
    fun count(operation: String, kind: String) {
        byOperation.merge(operation, 1, Long::plus)
        byKind.merge("$operation $kind", 1, Long::plus)
        val second = nowMillis() / MILLIS_PER_SECOND
        bySecond.getOrPut(second) { TreeMap() }.merge(operation, 1, Long::plus)
        if (bySecond.size > RETENTION_SECONDS) bySecond.pollFirstEntry()
    }

    @Synchronized
    fun watchOpened() {
        openWatches++
    }

    @Synchronized
    fun watchClosed() {
        openWatches--
    }

    @Synchronized
    fun counts() = PlatformCounts(
        byOperation.toMap(),
        byKind.toMap(),
        bySecond.mapValues { it.value.toMap() },
        openWatches
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val RETENTION_SECONDS = 600
    }
}
