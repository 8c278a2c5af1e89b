package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.withTimeoutOrNull
import org.bramleytrestle.backend.ChainRunner
import org.bramleytrestle.backend.ChainWork
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.backend.StreamEvent
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.RepeatPolicy
import org.bramleytrestle.model.TokenEvent
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.routing.AttemptOutcome
import org.bramleytrestle.routing.Dispatch
import org.bramleytrestle.routing.FailedAttempt
import org.bramleytrestle.routing.RequestRouter
import org.bramleytrestle.routing.RetryDecision
import org.bramleytrestle.routing.Work
import org.bramleytrestle.settings.ModelSettings

private val log = KotlinLogging.logger {}

/**
 * Runs completions: queues a request, runs it on a chain, and continues the response on another
 * chain after a failure.
 *
 * @property onPriority sends a new priority to all hops of a running attempt.
 */
internal class CompletionExecutor(
    private val acquirer: DispatchAcquirer,
    private val retrier: AttemptRetrier,
    private val runner: ChainRunner,
    private val clock: TimeSource.WithComparableMarks,
    private val metrics: NodeMetrics,
    private val onPriority: (ChainWork, Int) -> Unit
) {
    /** Passes every token of the response to [emit], exactly once and in order. */
    suspend fun run(
        request: CompletionRequest,
        model: ModelSettings,
        emit: suspend (TokenEvent) -> Unit
    ): Result<CompletionSummary, Failure> {
        val run = Run(request, model, emit)
        val remaining = request.deadline - clock.markNow()
        return run.lifecycle.withinDeadline(remaining, run::attempts)
    }

    private inner class Run(
        private val request: CompletionRequest,
        private val model: ModelSettings,
        private val emit: suspend (TokenEvent) -> Unit
    ) {
        val lifecycle = RequestLifecycle(request.id, atMostOnce = false)
        private val emitted = mutableListOf<Int>()
        private val started = clock.markNow()

        suspend fun attempts(): Result<CompletionSummary, Failure> {
            var work = initialWork()
            while (true) {
                lifecycle.markQueued()
                val dispatch = acquirer.acquire(work)
                    .getOrElse { return Err(lifecycle.endWithFailure(it)) }
                val failed = when (val end = attempt(work, dispatch)) {
                    is StreamEvent.Done -> return Ok(complete(end, work, dispatch))
                    is StreamEvent.Failed -> end
                    is StreamEvent.Token -> error("the attempt ended with a token event")
                }
                work = nextAttempt(work, dispatch, failed)
                    .getOrElse { return Err(lifecycle.endWithFailure(it)) }
            }
        }

        private fun initialWork() = Work(
            request = request.id,
            organisation = request.organisation,
            service = request.service,
            model = request.model,
            promptTokens = request.promptTokens,
            maxTokens = request.maxTokens,
            deadline = request.deadline,
            sideKey = request.callerKey
        )

        private suspend fun attempt(work: Work, dispatch: Dispatch): StreamEvent {
            val chainWork = ChainWork(
                request = request.id,
                attempt = work.attempt,
                model = request.model,
                version = model.version,
                hops = dispatch.hops,
                prompt = request.prompt,
                emitted = emitted.toList(),
                maxTokens = request.maxTokens,
                priority = dispatch.priority
            )
            lifecycle.markDispatched()
            var end: StreamEvent? = null
            try {
                runner.run(chainWork).transformWhile { event ->
                    emit(event)
                    event is StreamEvent.Token
                }.collect { event ->
                    if (event is StreamEvent.Token) {
                        emitToken(event.event)
                        dispatch.recordTokens(1)?.let { onPriority(chainWork, it) }
                    } else {
                        end = event
                    }
                }
            } catch (e: CancellationException) {
                dispatch.finish(AttemptOutcome.Cancelled)
                throw e
            } catch (e: Exception) {
                log.error(e) { "node: attempt ${work.attempt} of ${request.id} failed" }
                dispatch.finish(AttemptOutcome.Cancelled)
                throw e
            }
            return end ?: StreamEvent.Failed(dispatch.hops.first().instance, HopFailure.TRUNCATED)
        }

        private suspend fun emitToken(event: TokenEvent) {
            lifecycle.recordToken(event, model.layers)
            if (emitted.isEmpty()) metrics.recordTimeToFirstToken(clock.markNow() - started)
            emitted += event.id
            metrics.recordTokens(1)
            emit(event)
        }

        private fun complete(
            end: StreamEvent.Done,
            work: Work,
            dispatch: Dispatch
        ): CompletionSummary {
            dispatch.finish(AttemptOutcome.Completed)
            lifecycle.markCompleted()
            metrics.recordSide(dispatch.side)
            return CompletionSummary(emitted.size, end.finishReason, work.attempt)
        }

        private suspend fun nextAttempt(
            work: Work,
            dispatch: Dispatch,
            failed: StreamEvent.Failed
        ): Result<Work, Failure> {
            val (instance, failure) = failed
            // A refusal by a later hop does not prove that the request was not run, since the hops
            // before it have run.
            val notRun = failure.notRun && instance == dispatch.hops.first().instance
            if (notRun) lifecycle.recordNotRun()
            val attempt = FailedAttempt(instance, notRun, RepeatPolicy.REPEATABLE, dispatch.side)
            return retrier.nextAttempt(
                work.copy(emittedTokens = emitted.size),
                dispatch,
                attempt,
                failure
            )
        }
    }
}
