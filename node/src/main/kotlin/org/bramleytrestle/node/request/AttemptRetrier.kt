package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.routing.AttemptOutcome
import org.bramleytrestle.routing.Dispatch
import org.bramleytrestle.routing.FailedAttempt
import org.bramleytrestle.routing.RequestRouter
import org.bramleytrestle.routing.RetryDecision
import org.bramleytrestle.routing.Work

private val log = KotlinLogging.logger {}

/**
 * Ends a failed attempt and prepares the next one, if a retry is allowed.
 *
 * @property onFailure called with the server that failed, so that requests avoid it for a while.
 */
internal class AttemptRetrier(
    private val router: RequestRouter,
    private val metrics: NodeMetrics,
    private val onFailure: (InstanceId, HopFailure) -> Unit
) {
    /** Returns the work of the next attempt after its backoff, or the reason why there is none. */
    suspend fun nextAttempt(
        work: Work,
        dispatch: Dispatch,
        failed: FailedAttempt,
        failure: HopFailure
    ): Result<Work, Failure> {
        val instance = failed.instance
        dispatch.finish(AttemptOutcome.Failed(instance, failure == HopFailure.FULL))
        onFailure(instance, failure)
        log.info { "node: attempt ${work.attempt} of ${work.request}: $instance $failure" }
        return when (val decision = router.retry(work, failed)) {
            is RetryDecision.Retry -> {
                metrics.recordRetry()
                delay(decision.delay)
                Ok(decision.work)
            }
            is RetryDecision.GiveUp ->
                Err(Failure(decision.kind, "$instance failed the request: $failure"))
        }
    }
}
