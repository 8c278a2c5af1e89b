package org.bramleytrestle.routing

import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop

/**
 * Permission to run one attempt on [hops]. It holds slots and rate-limit tokens until [finish] is
 * called. A call of a plain service has one hop of one layer.
 */
public interface Dispatch {
    public val hops: List<StageHop>
    public val side: Side

    /** Engine priority at the start; lower numbers are served first. */
    public val priority: Int

    /**
     * Records [count] generated tokens. Returns the new engine priority if the attempt is demoted
     * because it has exceeded its estimate, else null.
     */
    public fun recordTokens(count: Int): Int?

    /** Releases slots and unused tokens and records [outcome]. Later calls have no effect. */
    public fun finish(outcome: AttemptOutcome)
}
