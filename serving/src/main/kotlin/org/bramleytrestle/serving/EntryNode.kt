package org.bramleytrestle.serving

/** A node that callers may connect to. */
public data class EntryNode(val id: String, val address: String, val dataCentre: String)
