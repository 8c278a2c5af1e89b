package org.bramleytrestle.serving.admission

import kotlin.math.exp

/** Exponentially weighted rate of starts. Not thread-safe. */
internal class StartRate {
    private var perSecond = 0.0
    private var atNanos: Long? = null

    fun started(nowNanos: Long) {
        perSecond = decayed(nowNanos) + 1 / WINDOW_SECONDS
        atNanos = nowNanos
    }

    /** Starts per second, at least [MIN_PER_SECOND]. */
    fun perSecond(nowNanos: Long): Double = maxOf(MIN_PER_SECOND, decayed(nowNanos))

    private fun decayed(nowNanos: Long): Double {
        val elapsed = atNanos?.let { (nowNanos - it) / NANOS_PER_SECOND } ?: return 0.0
        return perSecond * exp(-elapsed / WINDOW_SECONDS)
    }

    private companion object {
        /** About the duration of a stream, within which a full fleet frees all its room. */
        const val WINDOW_SECONDS = 2.0

        /** Lets the first request wait on a node that has started none yet. */
        const val MIN_PER_SECOND = 1.0
        const val NANOS_PER_SECOND = 1e9
    }
}
