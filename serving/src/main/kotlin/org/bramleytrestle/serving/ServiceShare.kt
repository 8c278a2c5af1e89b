package org.bramleytrestle.serving

/** Share of a route's requests that [service] gets, in proportion to the sum of all weights. */
public data class ServiceShare(val service: String, val weight: Int)
