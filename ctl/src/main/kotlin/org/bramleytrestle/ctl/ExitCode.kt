package org.bramleytrestle.ctl

/** Exit codes of `bramleyctl`. Scripts rely on them. */
internal enum class ExitCode(val code: Int) {
    OK(0),

    /** The node refused the request, or failed to process it. */
    REFUSED(1),

    /** Invalid arguments or settings. */
    INVALID(2),

    /** The change conflicts with another one that was accepted first. */
    CONFLICT(3),

    /** The node could not be reached, or its response was lost. */
    UNREACHABLE(4),

    /** The change was accepted but not applied by all live nodes within the timeout. */
    WAIT_EXPIRED(5)
}
