package org.bramleytrestle.model

import java.util.concurrent.atomic.AtomicReference

/**
 * Run-time invariant checks. By default a violation throws, which fails tests. Nodes in production
 * count violations in a metric instead, because ending the process would abort other requests.
 */
public object Invariants {
    private val handler = AtomicReference<(name: String, detail: String) -> Unit> { name, detail ->
        throw IllegalStateException("invariant $name violated: $detail")
    }

    /** Replaces the handler that is called for each violation; the default one throws. */
    public fun onViolation(handler: (name: String, detail: String) -> Unit) {
        this.handler.set(handler)
    }

    /** Reports a violation of [name] unless [condition] holds. */
    public fun check(name: String, condition: Boolean, detail: () -> String) {
        if (!condition) handler.get()(name, detail())
    }
}
