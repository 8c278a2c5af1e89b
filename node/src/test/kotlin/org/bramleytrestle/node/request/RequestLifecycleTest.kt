package org.bramleytrestle.node.request

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Executed
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LineageStep
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.TokenEvent

class RequestLifecycleTest {
    private val id = RequestId("r")

    private fun dispatched(atMostOnce: Boolean = false) = RequestLifecycle(id, atMostOnce).apply {
        markQueued()
        markDispatched()
    }

    private fun token(index: Int, request: RequestId = id, vararg ranges: LayerRange) = TokenEvent(
        request = request,
        attempt = 1,
        index = index,
        id = 1,
        text = "w",
        lineage = ranges.map { LineageStep(InstanceId("e"), it) }
    )

    @Test
    fun `a failure states that nothing was run only with proof for every attempt`() {
        for (kind in ErrorKind.entries) {
            val ended = dispatched().endWithFailure(Failure(kind, "x"))
            assertEquals(Executed.UNKNOWN, ended.kind.executed, kind.name)
        }
        val proven = dispatched().apply { recordNotRun() }
            .endWithFailure(Failure(ErrorKind.NO_ROUTE, "x"))
        assertEquals(ErrorKind.NO_ROUTE, proven.kind)
    }

    @Test
    fun `a call that may not be repeated is not dispatched again after it may have run`() {
        val lifecycle = dispatched(atMostOnce = true)
        lifecycle.markQueued()
        assertFailsWith<IllegalStateException> { lifecycle.markDispatched() }
    }

    @Test
    fun `a call that may not be repeated is dispatched again after proof that it was not run`() {
        val lifecycle = dispatched(atMostOnce = true)
        lifecycle.recordNotRun()
        lifecycle.markQueued()
        lifecycle.markDispatched()
        lifecycle.markCompleted()
        assertEquals(RequestState.COMPLETED, lifecycle.state)
    }

    @Test
    fun `a token of another request, out of order or without all layers violates an invariant`() {
        val allLayers = LayerRange(0, 4)
        val cases = listOf(
            token(0, RequestId("other"), allLayers),
            token(1, id, allLayers),
            token(0, id, LayerRange(0, 2), LayerRange(3, 4)),
            token(0, id, LayerRange(0, 3), LayerRange(2, 4)),
            token(0, id, LayerRange(2, 4), LayerRange(0, 2)),
            token(0, id, LayerRange(0, 2))
        )
        for (case in cases) {
            assertFailsWith<IllegalStateException>("$case") {
                dispatched().recordToken(case, layers = 4)
            }
        }
        dispatched().recordToken(token(0, id, LayerRange(0, 2), LayerRange(2, 4)), layers = 4)
    }

    @Test
    fun `a request ends once`() {
        val lifecycle = dispatched().apply { markCompleted() }
        assertFailsWith<IllegalStateException> {
            lifecycle.endWithFailure(Failure(ErrorKind.INTERNAL, "x"))
        }
    }
}
