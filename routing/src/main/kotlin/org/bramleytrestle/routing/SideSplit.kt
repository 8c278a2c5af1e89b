package org.bramleytrestle.routing

import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StableHash

/**
 * Splits traffic between the sides by a hash of a stable key. A key has one position in [0, 1) and
 * is new below the share, so raising the share moves only the difference.
 */
public object SideSplit {
    /** The side of the caller [sideKey] when the new side takes [newShare] of the requests. */
    public fun side(
        organisation: OrganisationId,
        service: ServiceName,
        sideKey: String,
        newShare: Double
    ): Side {
        // Mixing between the parts keeps ("a", "bc") and ("ab", "c") apart.
        val scope = StableHash.mix(
            StableHash.of(organisation.value) + StableHash.of(service.value).rotateLeft(1)
        )
        val hash = StableHash.mix(scope + StableHash.of(sideKey))
        val position = (hash ushr UNUSED_BITS) * POSITION_UNIT
        return if (position < newShare) Side.NEW else Side.OLD
    }

    /** A double holds 53 bits exactly. */
    private const val UNUSED_BITS = 11
    private const val POSITION_UNIT = 1.0 / (1L shl 53)
}
