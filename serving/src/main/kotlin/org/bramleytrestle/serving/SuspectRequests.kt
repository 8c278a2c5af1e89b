package org.bramleytrestle.serving

/**
 * Finds the requests that explain crashes of backend servers by themselves, whatever their parts.
 *
 * Sound requests meet the same crashes if they move from server to server together with the one
 * that causes them. A request is therefore not blamed if another one has ended all of its servers
 * and more.
 */
internal object SuspectRequests {
    /** Servers that a request must have ended if its answers had begun. */
    private const val MIN_SERVERS_BEGUN = 2

    /** The same if it may have been waiting. */
    private const val MIN_SERVERS_WAITING = 3

    /** Ids of the blamed requests. */
    fun find(evidence: Collection<CrashEvidence>): Set<String> {
        val candidates = evidence.filter { it.servers.size >= minServers(it) }
        return candidates.filter { request ->
            candidates.none { other ->
                other.servers.size > request.servers.size &&
                    other.servers.containsAll(request.servers)
            }
        }.mapTo(mutableSetOf()) { it.request }
    }

    private fun minServers(evidence: CrashEvidence) =
        if (evidence.begun) MIN_SERVERS_BEGUN else MIN_SERVERS_WAITING
}
