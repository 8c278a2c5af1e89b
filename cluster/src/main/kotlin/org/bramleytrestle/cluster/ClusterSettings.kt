package org.bramleytrestle.cluster

import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

/**
 * Settings of a node and its peers, usually read from the node's settings file.
 *
 * @property listenAddress `host:port` on which the peer listener accepts connections.
 * @property peerAddress `host:port` under which peers connect to this node.
 * @property callerAddress base URL for callers.
 * @property secret shared by all nodes; peers authenticate each other with it.
 * @property seeds `host:port` of initial peers; [Cluster.addSeeds] adds more.
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
