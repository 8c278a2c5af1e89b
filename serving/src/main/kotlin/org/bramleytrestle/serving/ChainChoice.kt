package org.bramleytrestle.serving

/**
 * A chain and the part of its capacity that is taken.
 *
 * @property sound false for a chain that failed lately and stands in for want of another.
 */
public data class ChainChoice(val chain: Chain, val used: Double, val sound: Boolean = true)
