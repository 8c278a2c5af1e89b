package org.bramleytrestle.routing

/** Chooses servers from the newest snapshot. Choosing reads one atomic reference. */
public interface ChainPlanner {
    /** The snapshot in use. */
    public val snapshot: RoutingSnapshot

    /** Builds the candidate chains of [next] in the calling thread and puts them in use. */
    public fun publish(next: RoutingSnapshot)

    /** A chain with room, or null if there is none now. */
    public fun choose(query: ChainQuery): ChainPlan?

    /** Whether any chain exists for the query, with or without room. */
    public fun exists(query: ChainQuery): Boolean
}
