package org.bramleytrestle.serving

/**
 * A node's entry in the store.
 *
 * @property capacity how well the node can read the store for others; higher is better.
 */
public data class NodeRegistration(val id: String, val dataCentre: String, val capacity: Int)
