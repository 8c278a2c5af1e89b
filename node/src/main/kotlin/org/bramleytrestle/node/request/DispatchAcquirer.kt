package org.bramleytrestle.node.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.routing.AttemptOutcome
import org.bramleytrestle.routing.Dispatch
import org.bramleytrestle.routing.RequestRouter
import org.bramleytrestle.routing.Work

/**
 * Acquires dispatches from the router. The router decides on a snapshot; if a chosen server has
 * become unusable since then, another dispatch is acquired that excludes it.
 *
 * @property usable whether a server may currently get new work.
 */
internal class DispatchAcquirer(
    private val router: RequestRouter,
    private val usable: (InstanceId) -> Boolean
) {
    suspend fun acquire(work: Work): Result<Dispatch, Failure> {
        var current = work
        while (true) {
            val dispatch = router.acquire(current).getOrElse { return Err(it) }
            val unusable = dispatch.hops.map { it.instance }.filterNot(usable)
            if (unusable.isEmpty()) return Ok(dispatch)
            dispatch.finish(AttemptOutcome.Cancelled)
            current = current.copy(excluded = current.excluded + unusable)
        }
    }
}
