package org.bramleytrestle.serving

/**
 * A selected chain.
 *
 * @property utilisation requests on the chain as a fraction of its capacity.
 * @property healthy false if the chain failed recently and was selected because no other is left.
 */
public data class ChainChoice(
    val chain: Chain,
    val utilisation: Double,
    val healthy: Boolean = true
)
