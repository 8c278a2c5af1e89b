package org.bramleytrestle.ctl

/** Aborts a command with a message on standard error and an exit code. */
internal class CommandFailure(val exit: ExitCode, message: String) : RuntimeException(message)
