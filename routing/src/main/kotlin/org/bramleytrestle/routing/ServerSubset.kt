package org.bramleytrestle.routing

import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.Rendezvous

/**
 * Limits this node to a subset of the servers of each model and layer range, so that its state and
 * the load reports it needs do not grow with the fleet.
 *
 * @param size servers per model, side and layer range.
 */
public class ServerSubset(private val node: InstanceId, public val size: Int = DEFAULT_SIZE) {
    /** The part of [servers] that this node uses; [range] names their model, side and layers. */
    public fun <T> of(range: String, servers: List<T>, id: (T) -> InstanceId): List<T> =
        if (servers.size <= size) {
            servers
        } else {
            Rendezvous.top("${node.value}/$range", servers, size) { id(it).value }
        }

    public companion object {
        /** Large enough that two samples nearly always differ and load stays evenly spread. */
        public const val DEFAULT_SIZE: Int = 128
    }
}
