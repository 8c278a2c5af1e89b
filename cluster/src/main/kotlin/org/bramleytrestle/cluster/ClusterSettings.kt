package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * What a node's settings file says about itself and its peers.
 *
 * @property listenAddress `host:port` to listen on.
 * @property peerAddress `host:port` at which peers reach this node.
 * @property callerAddress base URL for callers.
 * @property secret shared by all nodes; peers prove that they know it.
 * @property seeds `host:port` of some peers; more may be added later.
 */
public class ClusterSettings(
    public val id: InstanceId,
    public val dataCentre: DataCentre,
    public val listenAddress: String,
    public val peerAddress: String = listenAddress,
    public val callerAddress: String,
    secret: ByteArray,
    public val seeds: List<String> = emptyList(),
    public val intervals: ClusterIntervals = ClusterIntervals()
) {
    internal val secret: ByteArray = secret.copyOf()

    init {
        for (address in seeds + listenAddress + peerAddress) {
            val port = address.substringAfterLast(':', "").toIntOrNull()
            require(port != null) { "peer address '$address': expected host:port" }
        }
    }
}
