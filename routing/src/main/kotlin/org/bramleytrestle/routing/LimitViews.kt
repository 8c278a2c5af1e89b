package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/**
 * The recent views (members and settings) of this node. Nodes learn of a change at different times,
 * so a decision that must be safe on every node uses the most conservative of the views held during
 * [window]. Capacity that one node gives up is then free before another node uses it.
 */
internal class LimitViews(
    private val clock: TimeSource.WithComparableMarks,
    private val homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    private val window: Duration
) {
    private var views = emptyList<View>()

    /** One view. It caches the limit per organisation, because hashing all members is slow. */
    internal inner class View(
        private val members: List<InstanceId>,
        private val settings: SettingsState
    ) {
        internal val since: ComparableTimeMark = clock.markNow()
        private val cache = HashMap<OrganisationId, Limit>()

        internal fun limit(organisation: OrganisationId): Limit = cache.getOrPut(organisation) {
            val effective = settings.effective(organisation)
            val ordered = homes(organisation, members)
            Limit(effective.tokensPerSecond, ordered.take(effective.homeNodes.coerceAtLeast(1)))
        }
    }

    internal data class Limit(val tokensPerSecond: Double, val homes: List<InstanceId>)

    @Synchronized
    fun add(members: List<InstanceId>, settings: SettingsState) {
        views = views + View(members, settings)
        prune(clock.markNow() - window - RETENTION)
    }

    @Synchronized
    fun current(organisation: OrganisationId): Limit? = views.lastOrNull()?.limit(organisation)

    /**
     * All limits that were in force at any time since [from] minus [window]. Null if this process
     * has no view that old and therefore cannot know what other nodes held.
     */
    @Synchronized
    fun limitsSince(from: ComparableTimeMark, organisation: OrganisationId): List<Limit>? {
        val begin = from - window
        if (views.isEmpty() || views.first().since > begin) return null
        return views.filterIndexed { index, _ ->
            index == views.lastIndex || views[index + 1].since >= begin
        }.map { it.limit(organisation) }
    }

    private fun prune(begin: ComparableTimeMark) {
        while (views.size > 1 && views[1].since < begin) views = views.drop(1)
    }

    companion object {
        /** How far [limitsSince] may look back beyond the window. */
        val RETENTION: Duration = 10.seconds
    }
}
