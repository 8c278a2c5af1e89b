package org.bramleytrestle.serving

/** Immutable snapshot of all known backend servers. */
public class Fleet(servers: Collection<BackendServer>) {
    public val byId: Map<String, BackendServer> = servers.associateBy { it.id }

    /** Servers that accept new requests, by service. */
    public val ready: Map<String, List<BackendServer>> = servers.filterNot { it.leaving }
        .sortedBy { it.id }
        .groupBy { it.service }

    public companion object {
        public val EMPTY: Fleet = Fleet(emptyList())
    }
}
