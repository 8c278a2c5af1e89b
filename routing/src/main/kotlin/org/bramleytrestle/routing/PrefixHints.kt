package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/** Which instances probably hold which prompt prefixes. Immutable; may be wrong. */
public class PrefixHints internal constructor(private val holders: Map<Long, List<InstanceId>>) {
    /** Instances that stored the prefix, newest last. */
    public fun holders(prefixHash: Long): List<InstanceId> = holders[prefixHash].orEmpty()

    public companion object {
        public val NONE: PrefixHints = PrefixHints(emptyMap())
    }
}
