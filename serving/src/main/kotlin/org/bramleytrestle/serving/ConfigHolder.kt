package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The configuration in force, and how long ago the store confirmed it as the newest. */
public class ConfigHolder(private val now: () -> Moment = Moment::now) {
    private class State(val config: RoutingConfig, val confirmedAt: Moment?)

    private val state = AtomicReference<State?>(null)

    public val config: RoutingConfig? get() = state.get()?.config

    /** Age of the last confirmation; null before the first one. */
    public fun confirmationAge(): Duration? = state.get()?.confirmedAt?.let { now().since(it) }

    /** Takes [config] unless it is older than the one in force. True if it is now in force. */
    public fun offer(config: RoutingConfig): Boolean {
        while (true) {
            val current = state.get()
            if (current != null && current.config.revision >= config.revision) return false
            val next = State(config, current?.confirmedAt)
            if (state.compareAndSet(current, next)) return true
        }
    }

    /** Records that at [confirmedAt] the store had nothing newer. */
    public fun confirm(confirmedAt: Moment) {
        state.updateAndGet { it?.let { old -> State(old.config, confirmedAt) } }
    }
}
