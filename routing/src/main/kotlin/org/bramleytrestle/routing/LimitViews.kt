package org.bramleytrestle.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.settings.SettingsState

/**
 * The members and settings that a node has held recently. Nodes learn a change at different
 * times; a decision that must hold for every node takes the least favourable of the views held
 * during [window], so that what one node gives up is free before another takes it.
 */
internal class LimitViews(
    private val clock: TimeSource.WithComparableMarks,
    private val homes: (OrganisationId, List<InstanceId>) -> List<InstanceId>,
    private val window: Duration
) {
    private var views = emptyList<View>()

    /** One view; the result per organisation is kept because hashing all members is slow. */
    internal inner class View(
        private val members: List<InstanceId>,
        private val settings: SettingsState
    ) {
        internal val since: ComparableTimeMark = clock.markNow()
        private val known = HashMap<OrganisationId, Limit>()

        internal fun limit(organisation: OrganisationId): Limit = known.getOrPut(organisation) {
            val effective = settings.effective(organisation)
            val ordered = homes(organisation, members)
            Limit(effective.tokensPerSecond, ordered.take(effective.homeNodes.coerceAtLeast(1)))
        }
    }

    internal data class Limit(val tokensPerSecond: Double, val homes: List<InstanceId>)

    @Synchronized
    fun add(members: List<InstanceId>, settings: SettingsState) {
        views = views + View(members, settings)
        prune(clock.markNow() - window - KEPT)
    }

    @Synchronized
    fun current(organisation: OrganisationId): Limit? = views.lastOrNull()?.limit(organisation)

    /**
     * The limits in force at some time since [from] less the window; null if this process is
     * younger than that and thus cannot know what others held.
     */
    @Synchronized
    fun since(from: ComparableTimeMark, organisation: OrganisationId): List<Limit>? {
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
        /** How far back beyond the window a caller may ask. */
        val KEPT: Duration = 10.seconds
    }
}
