package org.bramleytrestle.standins.fleet

/** Ports of the three listeners of a node. */
internal data class NodePorts(val callers: Int, val operators: Int, val peers: Int)
