package org.bramleytrestle.backend

import com.github.michaelbull.result.Result
import kotlin.time.Duration
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.RequestId

/** Control operations on an engine, which are independent of running a chain. */
public interface EngineControl {
    public suspend fun report(address: String): Result<LoadReport, HopFailure>

    public suspend fun cacheEvents(
        address: String,
        after: Long
    ): Result<List<CacheEvent>, HopFailure>

    /** Sends [order]; without a response within [timeout] the outcome is unknown. */
    public suspend fun order(address: String, order: EngineOrder, timeout: Duration): OrderOutcome

    public suspend fun cancel(address: String, request: RequestId, attempt: Int)

    public suspend fun setPriority(address: String, request: RequestId, attempt: Int, priority: Int)
}
