package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds the server that made streams of a chain fall silent. Until it is found the whole chain is
 * avoided; afterwards chains around that server can be used.
 */
public class StallInspector(
    private val selector: ServerSelector,
    private val diagnosis: ChainDiagnosis,
    private val later: (delay: Duration, task: () -> Unit) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private val asked = ConcurrentHashMap<String, Long>()

    public fun stalled(chain: Chain) {
        selector.chainFailed(chain)
        val nanos = now().monotonicNanos
        val last = asked[chain.first.id]
        if (last != null && nanos - last < ASK_INTERVAL_NANOS) return
        asked[chain.first.id] = nanos
        later(REPORT_LAG) {
            val address = diagnosis.faultyAddress(chain.first)
            log.info { "routing: chain=${chain.label} stalled at=$address" }
            if (address != null) selector.stageFailed(chain, address)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        /** Age of what servers report of themselves, with a reserve. */
        val REPORT_LAG = 250.milliseconds

        /** All streams of a chain stall together, and each question is paid for. */
        const val ASK_INTERVAL_NANOS = 500_000_000L
    }
}
