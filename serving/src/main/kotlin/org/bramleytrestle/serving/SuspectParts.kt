package org.bramleytrestle.serving

/**
 * Finds the parts of prompts that explain crashes of backend servers.
 *
 * A part is blamed once different prompts with it have ended different servers. The end of a server
 * that a blamed part explains says nothing about other parts or requests.
 *
 * @property groups the blamed parts. Those that all occur in the same prompts cannot be told apart
 * and are blamed together: a prompt with some of them alone says which of them is sound.
 * @property explainedServers starts of servers whose end a blamed part explains.
 */
internal class SuspectParts private constructor(
    val groups: Set<Set<String>>,
    val explainedServers: Set<String>
) {
    companion object {
        fun find(evidence: Collection<CrashEvidence>): SuspectParts {
            val groups = mutableSetOf<Set<String>>()
            val explainedServers = mutableSetOf<String>()
            var unexplained = evidence.toList()
            while (true) {
                val crashes = crashesByPart(unexplained).filter(::suffices).maxByOrNull(::weight)
                    ?: return SuspectParts(groups, explainedServers)
                groups += crashes.map { it.suspects }.reduce { a, b -> a intersect b }
                val explained = crashes.flatMapTo(mutableSetOf()) { it.servers }
                explainedServers += explained
                unexplained = (unexplained - crashes.toSet())
                    .map { it.copy(servers = it.servers - explained) }
                    .filter { it.servers.isNotEmpty() }
            }
        }

        private fun crashesByPart(
            evidence: Collection<CrashEvidence>
        ): Collection<List<CrashEvidence>> {
            val crashes = LinkedHashMap<String, MutableList<CrashEvidence>>()
            for (crash in evidence) {
                for (part in crash.suspects) crashes.getOrPut(part, ::mutableListOf) += crash
            }
            return crashes.values
        }

        private fun suffices(crashes: List<CrashEvidence>): Boolean {
            val servers = crashes.flatMapTo(mutableSetOf()) { it.servers }
            return servers.size >= MIN_SERVERS && weight(crashes) >= MIN_WEIGHT
        }

        private fun weight(crashes: List<CrashEvidence>) =
            crashes.sumOf { if (it.begun) BEGUN_WEIGHT else WAITING_WEIGHT }

        private const val MIN_SERVERS = 2

        /** Two prompts whose answers had begun, or three that may have been waiting. */
        private const val MIN_WEIGHT = 6
        private const val BEGUN_WEIGHT = 3
        private const val WAITING_WEIGHT = 2
    }
}
