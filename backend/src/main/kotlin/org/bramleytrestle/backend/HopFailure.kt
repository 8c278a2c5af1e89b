package org.bramleytrestle.backend

/**
 * Why a hop gave no result.
 *
 * @property notRun whether the engine stated that it did not run the step.
 */
public enum class HopFailure(public val notRun: Boolean) {
    LEAVING(true),
    FULL(true),

    /** The connection could not be opened, so no bytes were written. */
    UNREACHABLE(true),

    /** The connection broke after bytes were written. */
    BROKEN(false),

    /** No bytes for the inactivity bound. */
    SILENT(false),

    /** The stream ended without its terminal event. */
    TRUNCATED(false),

    /** A reply carried another request, attempt, position or layer range. */
    MISMATCH(false),

    /** The engine lost the state of the request. */
    KV_MISMATCH(false),
    ENGINE_ERROR(false)
}
