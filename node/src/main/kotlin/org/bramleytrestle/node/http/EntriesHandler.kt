package org.bramleytrestle.node.http

import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.cluster.Member
import org.bramleytrestle.cluster.MemberState
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.Rendezvous
import org.bramleytrestle.settings.SettingsState

/**
 * `GET /v1/entries`: lists the addresses that a caller should use. Every node returns the same few
 * nodes to the callers of an organisation, so that only a few nodes share its rate limit.
 */
internal class EntriesHandler(
    private val members: () -> Collection<Member>,
    private val settings: () -> SettingsState,
    private val keepSeconds: Long
) {
    @Serializable
    private data class Entry(val instance: String, val address: String, val dataCentre: String)

    @Serializable
    private data class Entries(val entries: List<Entry>, val maxAgeSeconds: Long)

    fun handle(ctx: Context) {
        val organisation = ctx.queryParam("organisation").orEmpty()
        val homeNodeCount = settings().effective(OrganisationId(organisation)).homeNodes
        val alive = members().filter { it.state == MemberState.ALIVE }
        val chosen = Rendezvous.top(organisation, alive, homeNodeCount) { it.id.value }
        val entries = chosen.map { Entry(it.id.value, it.callerAddress, it.dataCentre.value) }
        ctx.header("Cache-Control", "max-age=$keepSeconds").contentType("application/json")
        ctx.result(Json.encodeToString(Entries.serializer(), Entries(entries, keepSeconds)))
    }
}
