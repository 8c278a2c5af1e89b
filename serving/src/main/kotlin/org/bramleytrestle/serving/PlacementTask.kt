package org.bramleytrestle.serving

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.bramleytrestle.model.guarded

/**
 * Steps the placement while this node holds its lease. A step that fails is tried again: the lease
 * is renewed independently, so no other node would take the placement over.
 */
public class PlacementTask(
    private val holdsLease: () -> Boolean,
    private val step: suspend () -> Unit
) {
    /** Runs until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            val holds = holdsLease()
            if (holds) guarded("placement", step)
            delay(if (holds) STEP_INTERVAL else IDLE_INTERVAL)
        }
    }

    private companion object {
        val STEP_INTERVAL = 200.milliseconds

        /** Interval at which a node without the lease looks whether it holds it now. */
        val IDLE_INTERVAL = 500.milliseconds
    }
}
