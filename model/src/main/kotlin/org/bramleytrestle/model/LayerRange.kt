package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Half-open range of model layers; the end of one range is the start of the next. */
@Serializable
public data class LayerRange(val from: Int, val until: Int) {
    init {
        require(from in 0..<until) { "layers $from..<$until: expected 0 <= from < until" }
    }

    val size: Int get() = until - from

    public companion object {
        /** Whether [ranges] cover layers 0 until [layers] in order, without gaps or overlaps. */
        public fun coversExactly(ranges: List<LayerRange>, layers: Int): Boolean {
            var next = 0
            for (range in ranges) {
                if (range.from != next) return false
                next = range.until
            }
            return next == layers
        }
    }
}
