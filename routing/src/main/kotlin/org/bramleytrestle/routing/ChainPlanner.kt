package org.bramleytrestle.routing

/** Chooses chains of servers from the newest snapshot. Decisions take no lock. */
public interface ChainPlanner {
    /** The snapshot in use. */
    public val snapshot: RoutingSnapshot

    /** Prepares chains for [next] on the calling thread, then makes [next] the current snapshot. */
    public fun publish(next: RoutingSnapshot)

    /** Returns a chain with free capacity, or null if there is none now. */
    public fun choose(query: ChainQuery): ChainPlan?

    /** Whether any chain exists for the query, with or without free capacity. */
    public fun hasChain(query: ChainQuery): Boolean
}
