package org.bramleytrestle.routing

/**
 * Expected length of one attempt.
 *
 * @property tokens number of tokens that the attempt is expected to generate.
 * @property demoteAfter the attempt is demoted when it has generated more tokens than this.
 */
internal data class LengthEstimate(val tokens: Int, val workClass: WorkClass, val demoteAfter: Int)
