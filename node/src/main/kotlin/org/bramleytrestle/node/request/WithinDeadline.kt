package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure

/** Runs [attempts] for at most [remaining]. Ends the request on a timeout or on cancellation. */
internal suspend fun <T> RequestLifecycle.withinDeadline(
    remaining: Duration,
    attempts: suspend () -> Result<T, Failure>
): Result<T, Failure> {
    val result = try {
        withTimeoutOrNull(remaining) { attempts() }
    } catch (e: CancellationException) {
        markAbandoned()
        throw e
    }
    return result
        ?: Err(endWithFailure(Failure(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed")))
}
