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
        queued()
        dispatched()
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
    fun `a failure claims that nothing was run only with proof for every attempt`() {
        for (kind in ErrorKind.entries) {
            val ended = dispatched().ended(Failure(kind, "x"))
            assertEquals(Executed.UNKNOWN, ended.kind.executed, kind.name)
        }
        val proven = dispatched().apply { provenNotRun() }.ended(Failure(ErrorKind.NO_ROUTE, "x"))
        assertEquals(ErrorKind.NO_ROUTE, proven.kind)
    }

    @Test
    fun `a call that may not be repeated is not sent again after it may have run`() {
        val lifecycle = dispatched(atMostOnce = true)
        lifecycle.queued()
        assertFailsWith<IllegalStateException> { lifecycle.dispatched() }
    }

    @Test
    fun `a call that may not be repeated is sent again after proof that it was not run`() {
        val lifecycle = dispatched(atMostOnce = true)
        lifecycle.provenNotRun()
        lifecycle.queued()
        lifecycle.dispatched()
        lifecycle.completed()
        assertEquals(RequestState.COMPLETED, lifecycle.state)
    }

    @Test
    fun `a token of another request, out of order or without all layers is a violation`() {
        val whole = LayerRange(0, 4)
        val cases = listOf(
            token(0, RequestId("other"), whole),
            token(1, id, whole),
            token(0, id, LayerRange(0, 2), LayerRange(3, 4)),
            token(0, id, LayerRange(0, 3), LayerRange(2, 4)),
            token(0, id, LayerRange(2, 4), LayerRange(0, 2)),
            token(0, id, LayerRange(0, 2))
        )
        for (case in cases) {
            assertFailsWith<IllegalStateException>("$case") { dispatched().token(case, layers = 4) }
        }
        dispatched().token(token(0, id, LayerRange(0, 2), LayerRange(2, 4)), layers = 4)
    }

    @Test
    fun `a request ends once`() {
        val lifecycle = dispatched().apply { completed() }
        assertFailsWith<IllegalStateException> { lifecycle.ended(Failure(ErrorKind.INTERNAL, "x")) }
    }
}
