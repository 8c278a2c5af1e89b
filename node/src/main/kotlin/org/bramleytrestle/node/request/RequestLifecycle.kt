package org.bramleytrestle.node.request

import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Executed
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.TokenEvent

/**
 * Follows one request and checks what must always hold at each step. Used by one coroutine.
 *
 * @property atMostOnce whether the call may not be repeated.
 */
internal class RequestLifecycle(private val id: RequestId, private val atMostOnce: Boolean) {
    var state = RequestState.RECEIVED
        private set

    /** Attempts that may have run: bytes were written and nobody proved the opposite. */
    private var possibleRuns = 0
    private var nextIndex = 0

    val mayHaveRun: Boolean get() = possibleRuns > 0

    fun queued() = move(RequestState.QUEUED)

    fun dispatched() {
        Invariants.check("at-most-one-run", !atMostOnce || possibleRuns == 0) {
            "request $id is sent again after an attempt that may have run"
        }
        possibleRuns++
        move(RequestState.DISPATCHED)
    }

    /** The attempt was authoritatively not run. */
    fun provenNotRun() {
        possibleRuns--
    }

    fun token(event: TokenEvent, layers: Int) {
        Invariants.check("own-answer", event.request == id) {
            "request $id got a token of ${event.request}"
        }
        Invariants.check("consecutive-tokens", event.index == nextIndex) {
            "request $id got token ${event.index}, expected $nextIndex"
        }
        Invariants.check(
            "layers-once-in-order",
            LayerRange.coversExactly(event.lineage.map { it.layers }, layers)
        ) { "request $id token ${event.index}: ${event.lineage} does not cover $layers layers" }
        nextIndex++
        if (state == RequestState.DISPATCHED) move(RequestState.STREAMING)
    }

    fun completed() = move(RequestState.COMPLETED)

    /**
     * Ends the request with [failure], whose kind is replaced where it would claim without proof
     * that the request was not run.
     */
    fun ended(failure: Failure): Failure {
        val honest = if (mayHaveRun) failure.copy(kind = unproven(failure.kind)) else failure
        val refused = honest.kind.executed == Executed.NO
        Invariants.check("not-run-with-proof", !refused || !mayHaveRun) {
            "request $id is refused as not run after $possibleRuns possible runs"
        }
        move(if (refused && nextIndex == 0) RequestState.REFUSED else RequestState.FAILED)
        return honest
    }

    /** The caller went away before the end. */
    fun abandoned() {
        if (!state.terminal) state = RequestState.FAILED
    }

    private fun unproven(kind: ErrorKind): ErrorKind = when {
        kind.executed == Executed.UNKNOWN -> kind
        kind == ErrorKind.DEADLINE_NOT_RUN -> ErrorKind.DEADLINE_EXCEEDED
        atMostOnce -> ErrorKind.OUTCOME_UNKNOWN
        else -> ErrorKind.BACKEND_FAILED
    }

    private fun move(next: RequestState) {
        Invariants.check("one-terminal-state", state.allows(next)) {
            "request $id goes from $state to $next"
        }
        state = next
    }
}
