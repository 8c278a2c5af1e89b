package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The active configuration and the time at which the store last confirmed it as the newest. */
public class ConfigHolder(private val now: () -> Moment = Moment::now) {
    private class State(val config: RoutingConfig, val confirmedAt: Moment?)

    private val state = AtomicReference<State?>(null)

    public val config: RoutingConfig? get() = state.get()?.config

    /** Time since the last confirmation; null before the first one. */
    public fun confirmationAge(): Duration? = state.get()?.confirmedAt?.let { now().since(it) }

    /** Activates [config] if its revision is newer than the active one; returns whether it did. */
    public fun offer(config: RoutingConfig): Boolean {
        while (true) {
            val current = state.get()
            if (current != null && current.config.revision >= config.revision) return false
            val next = State(config, current?.confirmedAt)
            if (state.compareAndSet(current, next)) return true
        }
    }

    /** Records that the store had no newer configuration at [confirmedAt]. */
    public fun confirm(confirmedAt: Moment) {
        state.updateAndGet { old ->
            val last = old?.confirmedAt
            val earlier = last != null && confirmedAt.monotonicNanos - last.monotonicNanos < 0
            if (old == null || earlier) old else State(old.config, confirmedAt)
        }
    }
}
