package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Identifies the server that stalled the streams of a chain. The chain as a whole is avoided at
 * first; once the server is known, chains that bypass it can be used.
 */
public class StallInspector(
    private val selector: ServerSelector,
    private val diagnosis: ChainDiagnosis,
    private val schedule: (delay: Duration, task: () -> Unit) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private val lastQueryNanos = ConcurrentHashMap<String, Long>()

    public fun onStall(chain: Chain) {
        selector.chainFailed(chain)
        val nanos = now().monotonicNanos
        val last = lastQueryNanos[chain.first.id]
        if (last != null && nanos - last < QUERY_INTERVAL_NANOS) return
        lastQueryNanos[chain.first.id] = nanos
        schedule(REPORT_LAG) {
            if (!selector.load(chain.first).announced.acceptsControl) return@schedule
            val address = diagnosis.faultyAddress(chain.first)
            log.info { "routing: chain=${chain.label} stalled at=$address" }
            if (address != null) selector.stageFailed(chain, address)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Delay until a server's report reflects the stall, with a margin. */
        val REPORT_LAG = 250.milliseconds

        /** All streams of a chain stall at the same time, and each query is billed. */
        const val QUERY_INTERVAL_NANOS = 500_000_000L
    }
}
