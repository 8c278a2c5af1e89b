package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.backend.ServiceCall
import org.bramleytrestle.backend.ServiceClient
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.ErrorKind
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

/** Runs calls to plain services according to their repeat policy. */
internal class ServiceExecutor(
    private val acquirer: DispatchAcquirer,
    private val retrier: AttemptRetrier,
    private val client: ServiceClient,
    private val records: CallRecorder,
    private val clock: TimeSource.WithComparableMarks,
    private val metrics: NodeMetrics
) {
    suspend fun run(request: ServiceRequest): Result<ServiceOutcome.Answer, Failure> {
        if (request.policy != RepeatPolicy.NEVER || request.idempotencyKey == null) {
            return Run(request).runWithinDeadline()
        }
        val stored = records.begin(request).getOrElse { return Err(it) }
        if (stored != null) return Ok(stored)
        // Not cancellable, so that the outcome is recorded even if the caller disconnects.
        return withContext(NonCancellable) { runRecorded(request) }
    }

    private suspend fun runRecorded(
        request: ServiceRequest
    ): Result<ServiceOutcome.Answer, Failure> {
        val run = Run(request)
        return run.runWithinDeadline()
            .onSuccess { records.complete(request, it) }
            .onFailure {
                if (run.lifecycle.mayHaveRun) records.abandon(request) else records.release(request)
            }
    }

    private inner class Run(private val request: ServiceRequest) {
        val lifecycle =
            RequestLifecycle(request.id, atMostOnce = request.policy == RepeatPolicy.NEVER)

        suspend fun runWithinDeadline(): Result<ServiceOutcome.Answer, Failure> {
            val remaining = request.deadline - clock.markNow()
            return lifecycle.withinDeadline(remaining, ::attempts)
        }

        private suspend fun attempts(): Result<ServiceOutcome.Answer, Failure> {
            var work = Work(
                request = request.id,
                organisation = request.organisation,
                service = request.service,
                deadline = request.deadline,
                sideKey = request.callerKey
            )
            while (true) {
                lifecycle.markQueued()
                val dispatch = acquirer.acquire(work)
                    .getOrElse { return Err(lifecycle.endWithFailure(it)) }
                val (failure, notRun) = when (val outcome = attempt(work, dispatch)) {
                    is ServiceOutcome.Answer -> return Ok(complete(outcome, dispatch))
                    is ServiceOutcome.NotRun -> outcome.failure to true
                    is ServiceOutcome.Unknown -> outcome.failure to false
                }
                work = nextAttempt(work, dispatch, failure, notRun)
                    .getOrElse { return Err(lifecycle.endWithFailure(it)) }
            }
        }

        private suspend fun attempt(work: Work, dispatch: Dispatch): ServiceOutcome {
            val call = ServiceCall(
                request = request.id,
                attempt = work.attempt,
                address = dispatch.hops.first().address,
                method = request.method,
                path = request.path,
                headers = request.headers,
                body = request.body,
                timeout = request.deadline - clock.markNow(),
                mayRepeat = request.policy == RepeatPolicy.REPEATABLE
            )
            lifecycle.markDispatched()
            return try {
                client.call(call)
            } catch (e: Exception) {
                dispatch.finish(AttemptOutcome.Cancelled)
                throw e
            }
        }

        private fun complete(
            answer: ServiceOutcome.Answer,
            dispatch: Dispatch
        ): ServiceOutcome.Answer {
            dispatch.finish(AttemptOutcome.Completed)
            lifecycle.markCompleted()
            metrics.recordSide(dispatch.side)
            return answer
        }

        private suspend fun nextAttempt(
            work: Work,
            dispatch: Dispatch,
            failure: HopFailure,
            notRun: Boolean
        ): Result<Work, Failure> {
            val instance = dispatch.hops.first().instance
            if (notRun) lifecycle.recordNotRun()
            val attempt = FailedAttempt(instance, notRun, request.policy, dispatch.side)
            return retrier.nextAttempt(work, dispatch, attempt, failure)
        }
    }
}
