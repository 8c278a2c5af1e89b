package org.bramleytrestle.backend

import com.github.michaelbull.result.Result
import kotlin.time.Duration
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.RequestId

/** Everything that is asked of a backend server beside its work. */
public interface EngineControl {
    public suspend fun report(address: String): Result<LoadReport, HopFailure>

    public suspend fun cacheEvents(
        address: String,
        after: Long
    ): Result<List<CacheEvent>, HopFailure>

    /** Sends [order]; the engine has acted or refused within [bound], else it is unknown. */
    public suspend fun order(address: String, order: EngineOrder, bound: Duration): OrderOutcome

    public suspend fun cancel(address: String, request: RequestId, attempt: Int)

    public suspend fun setPriority(address: String, request: RequestId, attempt: Int, priority: Int)
}
