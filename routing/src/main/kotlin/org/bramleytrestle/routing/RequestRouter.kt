package org.bramleytrestle.routing

import com.github.michaelbull.result.Result
import org.bramleytrestle.model.Failure

/** Decides when and where each attempt runs. An attempt that it refuses has not been run. */
public interface RequestRouter {
    /**
     * Queues [work] until servers and rate limits have capacity, then returns where to run it.
     * Refuses work at once if it cannot meet its deadline. Cancelling the call removes [work] from
     * the queue.
     */
    public suspend fun acquire(work: Work): Result<Dispatch, Failure>

    /** Decides whether to retry a failed attempt. */
    public fun retry(work: Work, failed: FailedAttempt): RetryDecision

    /** Reconsiders queued work after the planner published a snapshot. */
    public fun onSnapshot()
}
