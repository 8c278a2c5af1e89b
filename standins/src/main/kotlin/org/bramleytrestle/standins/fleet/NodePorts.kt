package org.bramleytrestle.standins.fleet

/** Ports of one node's three listeners. */
internal data class NodePorts(val callers: Int, val operators: Int, val peers: Int)
