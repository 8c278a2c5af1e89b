package org.bramleytrestle.serving

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import org.bramleytrestle.store.StoreVersion

/** The active configuration and the time at which the store last confirmed it as the newest. */
public class ConfigHolder(private val now: () -> Moment = Moment::now) {
    /** @property behind whether the store has come back with an older configuration than [config]. */
    private class State(
        val config: RoutingConfig,
        val confirmedAt: Moment?,
        val behind: Boolean = false
    )

    private val state = AtomicReference<State?>(null)

    public val config: RoutingConfig? get() = state.get()?.config

    /** Time since the last confirmation; null before the first one. */
    public fun confirmationAge(): Duration? = state.get()?.confirmedAt?.let { now().since(it) }

    /**
     * Activates [config] if it is newer than the active one; returns whether it did.
     *
     * The store's order decides unless the store has come back from an older copy in between. Then
     * the operators' version does: an older one is in the store only until they write again.
     */
    public fun offer(config: RoutingConfig): Boolean {
        while (true) {
            val current = state.get()
            if (current != null && current.config.revision >= config.revision) return false
            val behind = current != null && isLost(current.config, config)
            val next = State(
                if (behind) current.config else config,
                current?.confirmedAt,
                behind
            )
            if (state.compareAndSet(current, next)) return !behind
        }
    }

    /** Records that the store has come back without a configuration. */
    public fun offerNone() {
        state.updateAndGet { old -> old?.let { State(it.config, it.confirmedAt, behind = true) } }
    }

    /**
     * Records that the store had no newer configuration at [confirmedAt]. A store that lacks the
     * active configuration may lack a newer one too, so it confirms nothing.
     */
    public fun confirm(confirmedAt: Moment) {
        state.updateAndGet { old ->
            val last = old?.confirmedAt
            val earlier = last != null && confirmedAt.monotonicNanos - last.monotonicNanos < 0
            if (old == null || old.behind || earlier) old else State(old.config, confirmedAt)
        }
    }

    private fun isLost(active: RoutingConfig, stored: RoutingConfig) =
        StoreVersion.era(active.revision) < StoreVersion.era(stored.revision) &&
            stored.version < active.version
}
