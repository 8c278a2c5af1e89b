package org.bramleytrestle.ctl

/** Exit codes of `bramleyctl`, which scripts rely on. */
internal enum class ExitCode(val code: Int) {
    OK(0),

    /** The node refused the request or failed. */
    REFUSED(1),

    /** Wrong usage or invalid settings. */
    INVALID(2),

    /** Another change was accepted first. */
    CONFLICT(3),

    /** The node could not be reached, or its answer was lost. */
    UNREACHABLE(4),

    /** The change is accepted but not in force on all live nodes in time. */
    WAIT_EXPIRED(5)
}
