package org.bramleytrestle.backend

/**
 * Reason why a hop returned no result.
 *
 * @property notRun whether the step was certainly not run.
 */
public enum class HopFailure(public val notRun: Boolean) {
    LEAVING(true),
    FULL(true),

    /** The connection could not be opened, so no bytes were written. */
    UNREACHABLE(true),

    /** The connection broke after bytes were written. */
    BROKEN(false),

    /** No bytes arrived within the inactivity timeout. */
    SILENT(false),

    /** The stream ended without its terminal event. */
    TRUNCATED(false),

    /** A response was for another request, attempt, position or layer range. */
    MISMATCH(false),

    /** The engine no longer has the KV cache state of the request. */
    KV_MISMATCH(false),
    ENGINE_ERROR(false)
}
