package org.bramleytrestle.backend

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.TokenEvent

/** Event of a running chain; the last event is always [Done] or [Failed]. */
public sealed interface StreamEvent {
    public data class Token(val event: TokenEvent) : StreamEvent

    public data class Done(val count: Int, val finishReason: String) : StreamEvent

    /** The attempt failed at [instance]. */
    public data class Failed(val instance: InstanceId, val failure: HopFailure) : StreamEvent
}
