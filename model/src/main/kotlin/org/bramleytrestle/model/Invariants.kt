package org.bramleytrestle.model

import java.util.concurrent.atomic.AtomicReference

/**
 * Checks of what must always hold. A violation is fatal under test and is counted by a metric in
 * service, where ending the process would cut off other callers.
 */
public object Invariants {
    private val handler = AtomicReference<(name: String, detail: String) -> Unit> { name, detail ->
        throw IllegalStateException("invariant $name violated: $detail")
    }

    /** Replaces the reaction to a violation; the default throws. */
    public fun onViolation(reaction: (name: String, detail: String) -> Unit) {
        handler.set(reaction)
    }

    /** Reports a violation of [name] unless [condition] holds. */
    public fun check(name: String, condition: Boolean, detail: () -> String) {
        if (!condition) handler.get()(name, detail())
    }
}
