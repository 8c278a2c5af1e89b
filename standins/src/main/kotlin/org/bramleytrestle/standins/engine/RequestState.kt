package org.bramleytrestle.standins.engine

import java.util.concurrent.atomic.AtomicInteger
import org.bramleytrestle.model.LayerRange

/** Identifies the state of one attempt at a request for one range of layers. */
internal data class StateKey(val request: String, val attempt: Int, val layers: LayerRange)

/** State of each layer in [key], updated at every position; guarded by the engine's lock. */
internal class RequestState(val key: StateKey, val values: LongArray, val priority: AtomicInteger) {
    var positions = 0
    var busy = false
    var lastUsedMillis = 0L
}
