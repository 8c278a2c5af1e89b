package org.bramleytrestle.cluster

import com.github.michaelbull.result.get
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.SettingsState

/** Applies changes in order like a node and fails if the applied revision ever decreases. */
internal class RecordingListener(private val maxRetained: Int = 100) : ClusterListener {
    @Volatile
    var state: SettingsState = SettingsState.EMPTY
        private set
    val retained = CopyOnWriteArrayList<Change>()
    val reports = CopyOnWriteArrayList<LoadReport>()
    val demand = CopyOnWriteArrayList<Pair<InstanceId, LimitDemand>>()
    val grants = CopyOnWriteArrayList<Pair<InstanceId, LimitGrant>>()
    var statesReceived = 0
    var afterApply: (Long) -> Unit = {}

    override fun settings(): SettingsState = state

    override fun changesAfter(revision: Long): List<Change>? =
        retained.filter { it.revision > revision }
            .takeIf { it.firstOrNull()?.revision == revision + 1 }

    override fun onChanges(changes: List<Change>) {
        for (change in changes.filter { it.revision == state.revision + 1 }) {
            set(checkNotNull(state.patched(change.patch).get()))
            retained += change
            if (retained.size > maxRetained) retained.removeAt(0)
        }
    }

    override fun onState(state: SettingsState) {
        statesReceived++
        retained.clear()
        set(state)
    }

    override fun onReports(reports: List<LoadReport>) {
        this.reports += reports
    }

    override fun onDemand(from: InstanceId, demand: List<LimitDemand>) {
        this.demand += demand.map { from to it }
    }

    override fun onGrants(from: InstanceId, grants: List<LimitGrant>) {
        this.grants += grants.map { from to it }
    }

    private fun set(next: SettingsState) {
        check(next.revision > state.revision) {
            "revision ${state.revision} decreased to ${next.revision}"
        }
        state = next
        afterApply(next.revision)
    }
}

/** The change at [revision]; sets the default token limit to the revision. */
internal fun change(revision: Long, reason: String = "test"): Change = Change(
    revision,
    "change-$revision",
    "operator",
    reason,
    0,
    buildJsonObject {
        put("defaults", buildJsonObject { put("maxTokens", revision.toInt()) })
        put("pools", JsonNull)
    }
)

internal val JsonObject.maxTokens: String
    get() = (getValue("defaults") as JsonObject).getValue("maxTokens").toString()
