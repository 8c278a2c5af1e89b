package org.bramleytrestle.node.request

import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Executed
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.TokenEvent

/**
 * Tracks the state of one request and checks its invariants at each step. Not thread-safe.
 *
 * @property atMostOnce whether the call must not be dispatched again once it may have run.
 */
internal class RequestLifecycle(private val id: RequestId, private val atMostOnce: Boolean) {
    var state = RequestState.RECEIVED
        private set

    /** Number of attempts that may have run: dispatched, without proof that they were not run. */
    private var possibleRuns = 0
    private var nextIndex = 0

    val mayHaveRun: Boolean get() = possibleRuns > 0

    fun markQueued() = transitionTo(RequestState.QUEUED)

    fun markDispatched() {
        Invariants.check("at-most-one-run", !atMostOnce || possibleRuns == 0) {
            "request $id is dispatched again after an attempt that may have run"
        }
        possibleRuns++
        transitionTo(RequestState.DISPATCHED)
    }

    /** Records proof that the last attempt was not run. */
    fun recordNotRun() {
        possibleRuns--
    }

    fun recordToken(event: TokenEvent, layers: Int) {
        Invariants.check("own-answer", event.request == id) {
            "request $id received a token of request ${event.request}"
        }
        Invariants.check("consecutive-tokens", event.index == nextIndex) {
            "request $id received token ${event.index}, expected $nextIndex"
        }
        Invariants.check(
            "layers-once-in-order",
            LayerRange.coversExactly(event.lineage.map { it.layers }, layers)
        ) { "request $id token ${event.index}: ${event.lineage} does not cover $layers layers" }
        nextIndex++
        if (state == RequestState.DISPATCHED) transitionTo(RequestState.STREAMING)
    }

    fun markCompleted() = transitionTo(RequestState.COMPLETED)

    /**
     * Ends the request with [failure]. Replaces its kind if that would state without proof that
     * the request was not run.
     */
    fun endWithFailure(failure: Failure): Failure {
        val reported =
            if (mayHaveRun) failure.copy(kind = unknownOutcomeKind(failure.kind)) else failure
        val refused = reported.kind.executed == Executed.NO
        Invariants.check("not-run-with-proof", !refused || !mayHaveRun) {
            "request $id is refused as not run although $possibleRuns attempts may have run"
        }
        transitionTo(if (refused && nextIndex == 0) RequestState.REFUSED else RequestState.FAILED)
        return reported
    }

    /** Ends the request because it was cancelled, for instance when the caller disconnected. */
    fun markAbandoned() {
        if (!state.isTerminal) state = RequestState.FAILED
    }

    private fun unknownOutcomeKind(kind: ErrorKind): ErrorKind = when {
        kind.executed == Executed.UNKNOWN -> kind
        kind == ErrorKind.DEADLINE_NOT_RUN -> ErrorKind.DEADLINE_EXCEEDED
        atMostOnce -> ErrorKind.OUTCOME_UNKNOWN
        else -> ErrorKind.BACKEND_FAILED
    }

    private fun transitionTo(next: RequestState) {
        Invariants.check("one-terminal-state", state.canTransitionTo(next)) {
            "request $id cannot change from $state to $next"
        }
        state = next
    }
}
