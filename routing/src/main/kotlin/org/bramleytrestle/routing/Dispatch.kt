package org.bramleytrestle.routing

import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop

/**
 * Permission to run one attempt on [hops]; holds slots and tokens until [finish]. A call of a
 * plain service has one hop of one layer.
 */
public interface Dispatch {
    public val hops: List<StageHop>
    public val side: Side

    /** Engine priority at the start; lower numbers are served first. */
    public val priority: Int

    /**
     * Accounts for [count] generated tokens. Returns the new engine priority when the request
     * outran its estimate and was demoted, else null.
     */
    public fun tokens(count: Int): Int?

    /** Gives back what the attempt held and learns from its outcome. Later calls do nothing. */
    public fun finish(outcome: AttemptOutcome)
}
