package org.bramleytrestle.serving

/** A chain and the part of its capacity that is taken. */
public data class ChainChoice(val chain: Chain, val used: Double)
