package org.bramleytrestle.routing

import com.github.michaelbull.result.Result
import org.bramleytrestle.model.Failure

/** Decides when and where each attempt runs. Nothing it refuses was run. */
public interface RequestRouter {
    /**
     * Admits [work], waits in its queue until servers and limits have room, and returns where to
     * run it. Refuses at once what cannot meet its deadline. Cancelling the call leaves the queue.
     */
    public suspend fun acquire(work: Work): Result<Dispatch, Failure>

    /** Decides whether another attempt may follow a failed one. */
    public fun retry(work: Work, failed: FailedAttempt): RetryDecision

    /** Reconsiders queued work after the planner published a snapshot. */
    public fun onSnapshot()
}
