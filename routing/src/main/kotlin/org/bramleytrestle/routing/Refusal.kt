package org.bramleytrestle.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Executed
import org.bramleytrestle.model.Failure

/** A failure that refuses this work with [kind], adjusted by [adjustedKind]. */
internal fun Work.refusal(
    kind: ErrorKind,
    detail: String,
    retryAfter: Duration = 1.seconds
): Result<Nothing, Failure> {
    val adjusted = adjustedKind(kind)
    val seconds = kotlin.math.ceil(retryAfter.toDouble(DurationUnit.SECONDS)).toInt()
    return Err(
        Failure(
            adjusted,
            "routing: $detail",
            seconds.coerceAtLeast(1).takeIf {
                adjusted.retryable
            }
        )
    )
}

/**
 * Returns [kind], or its counterpart that does not claim that nothing was executed if an earlier
 * attempt may have run.
 */
internal fun Work.adjustedKind(kind: ErrorKind): ErrorKind = when {
    kind.executed != Executed.NO || (!mayHaveRun && emittedTokens == 0) -> kind
    kind == ErrorKind.DEADLINE_NOT_RUN -> ErrorKind.DEADLINE_EXCEEDED
    model != null -> ErrorKind.BACKEND_FAILED
    else -> ErrorKind.OUTCOME_UNKNOWN
}
