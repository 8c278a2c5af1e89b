package org.bramleytrestle.model

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

private val log = KotlinLogging.logger {}

/**
 * Runs [step] of a task that has to outlast any failure of it, errors of the runtime included.
 * Returns whether it succeeded; a failure is logged. Only the end of the coroutine itself is thrown.
 */
public suspend fun guarded(task: String, step: suspend () -> Unit): Boolean {
    try {
        step()
        return true
    } catch (e: Throwable) {
        // Also a cancellation may be a failure of the step, such as that of something it awaits.
        currentCoroutineContext().ensureActive()
        logFailure(task, e)
        return false
    }
}

/** Runs [step] of a task of a thread likewise; an interruption counts as a failure. */
public fun guardedBlocking(task: String, step: () -> Unit): Boolean {
    try {
        step()
        return true
    } catch (e: Throwable) {
        logFailure(task, e)
        return false
    }
}

/** Runs [task], which does not end by itself, and starts it anew [pause] after each failure. */
public suspend fun keepRunning(task: String, pause: Duration, run: suspend () -> Unit): Nothing {
    while (true) {
        guarded(task, run)
        delay(pause)
    }
}

private fun logFailure(task: String, cause: Throwable) {
    try {
        log.error(cause) { "$task: step failed, the task goes on" }
    } catch (_: OutOfMemoryError) {
        // The line needs memory too; the task goes on without it.
    }
}
