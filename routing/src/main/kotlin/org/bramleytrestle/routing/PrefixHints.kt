package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId

/** Immutable map from prompt prefixes to instances that probably hold them; may be stale. */
public class PrefixHints internal constructor(private val holders: Map<Long, List<InstanceId>>) {
    /** Instances that stored the prefix, most recent last. */
    public fun holders(prefixHash: Long): List<InstanceId> = holders[prefixHash].orEmpty()

    public companion object {
        public val NONE: PrefixHints = PrefixHints(emptyMap())
    }
}
