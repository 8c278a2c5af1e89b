package org.bramleytrestle.routing

import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side

/** A model or plain service on one side, with a queue of its own that no other target blocks. */
internal data class Target(val model: ModelName?, val service: ServiceName?, val side: Side) {
    companion object {
        /** Services that use the same model share its servers. */
        fun of(work: Work, side: Side): Target =
            Target(work.model, work.service.takeIf { work.model == null }, side)
    }
}
