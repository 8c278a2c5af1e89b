package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure

/** Runs [attempts] for at most [left] and ends the request if time runs out or the caller goes. */
internal suspend fun <T> RequestLifecycle.withinDeadline(
    left: Duration,
    attempts: suspend () -> Result<T, Failure>
): Result<T, Failure> {
    val result = try {
        withTimeoutOrNull(left) { attempts() }
    } catch (e: CancellationException) {
        abandoned()
        throw e
    }
    return result
        ?: Err(ended(Failure(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed")))
}
