package org.bramleytrestle.routing

import org.bramleytrestle.model.Side

/** A model or plain service on one side. */
internal data class GroupKey(val kind: Kind, val name: String, val side: Side) {
    enum class Kind { MODEL, SERVICE }

    companion object {
        fun of(query: ChainQuery): GroupKey {
            val model =
                query.model ?: return GroupKey(Kind.SERVICE, query.service.value, query.side)
            return GroupKey(Kind.MODEL, model.value, query.side)
        }
    }
}
