package org.bramleytrestle.routing

/**
 * Expected length of one attempt.
 *
 * @property tokens tokens that it is expected to generate.
 * @property demoteAfter more generated tokens than this demote the attempt.
 */
internal data class LengthEstimate(val tokens: Int, val workClass: WorkClass, val demoteAfter: Int)
