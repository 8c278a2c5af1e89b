package org.bramleytrestle.serving

/** Share of a route's requests that [service] receives: [weight] over the sum of all weights. */
public data class ServiceShare(val service: String, val weight: Int)
