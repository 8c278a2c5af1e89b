package org.bramleytrestle.model

/**
 * A typed error with its detail for people.
 *
 * @property detail names the path and what was expected.
 * @property retryAfterSeconds earliest time at which a retry can succeed; only for retryable kinds.
 */
public data class Failure(
    val kind: ErrorKind,
    val detail: String,
    val retryAfterSeconds: Int? = null
)
