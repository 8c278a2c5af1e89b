package org.bramleytrestle.model

/**
 * An error of a known kind with a human-readable explanation.
 *
 * @property detail what failed; for an invalid value, its path and what was expected.
 * @property retryAfterSeconds delay after which a retry can succeed; only set for retryable kinds.
 */
public data class Failure(
    val kind: ErrorKind,
    val detail: String,
    val retryAfterSeconds: Int? = null
)
