package org.bramleytrestle.routing

import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StableHash

/**
 * Splits traffic between the sides by a hash of a stable key. The hash gives each key a fixed
 * position in `[0, 1)`; keys below the share use the new side. Raising the share therefore moves
 * only the keys between the old and the new share.
 */
public object SideSplit {
    /** The side for the key [sideKey] when the new side gets the fraction [newShare] of keys. */
    public fun side(
        organisation: OrganisationId,
        service: ServiceName,
        sideKey: String,
        newShare: Double
    ): Side {
        // Mixing between the parts gives ("a", "bc") and ("ab", "c") different hashes.
        val scope = StableHash.mix(
            StableHash.of(organisation.value) + StableHash.of(service.value).rotateLeft(1)
        )
        val hash = StableHash.mix(scope + StableHash.of(sideKey))
        val position = (hash ushr UNUSED_BITS) * POSITION_UNIT
        return if (position < newShare) Side.NEW else Side.OLD
    }

    /** A double represents integers of up to 53 bits exactly. */
    private const val UNUSED_BITS = 11
    private const val POSITION_UNIT = 1.0 / (1L shl 53)
}
