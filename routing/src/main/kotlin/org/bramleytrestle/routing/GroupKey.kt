package org.bramleytrestle.routing

import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.PoolKind
import org.bramleytrestle.settings.PoolSettings

/** Identifies a [ServerGroup]: the [name] of a model or plain service, and a side. */
internal data class GroupKey(val kind: PoolKind, val name: String, val side: Side) {
    companion object {
        fun of(query: ChainQuery): GroupKey {
            val model = query.model
                ?: return GroupKey(PoolKind.SERVICE, query.service.value, query.side)
            return GroupKey(PoolKind.ENGINE, model.value, query.side)
        }

        fun of(pool: PoolSettings): GroupKey? {
            val name = if (pool.kind == PoolKind.SERVICE) pool.service else pool.model
            return name?.let { GroupKey(pool.kind, it, pool.side) }
        }
    }
}
