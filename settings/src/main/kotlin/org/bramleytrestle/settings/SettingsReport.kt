package org.bramleytrestle.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName

/** Shows operators which level sets each value and which values a change alters. */
public object SettingsReport {
    private const val FLEET = "fleet"
    private val json = Json { encodeDefaults = true }

    /** Every effective value of a scope with the level that sets it. */
    public fun values(
        state: SettingsState,
        organisation: String?,
        service: String?
    ): List<EffectiveValue> {
        val levels = levels(state.document, organisation, service)
        return effective(state, organisation, service).map { (key, value) ->
            val level = levels.lastOrNull { (_, overrides) -> key in explicitValues(overrides) }
            EffectiveValue(key, value.toString(), level?.first ?: "built-in")
        }
    }

    /** Differences between two states: models and pools first, then values by scope. */
    public fun differences(before: SettingsState, after: SettingsState): List<SettingsDifference> =
        topology(before, after) +
            (scopes(before) + scopes(after)).distinct().flatMap { (organisation, service) ->
                val scope = listOfNotNull(organisation, service).joinToString("/").ifEmpty { FLEET }
                val old = effective(before, organisation, service)
                val new = effective(after, organisation, service)
                new.filter { (key, value) -> old[key] != value }.map { (key, value) ->
                    SettingsDifference(scope, key, old[key].toString(), value.toString())
                }
            }

    private fun topology(before: SettingsState, after: SettingsState): List<SettingsDifference> =
        listOf("models", "pools").flatMap { section ->
            val old = before.tree[section]?.jsonObject.orEmpty()
            val new = after.tree[section]?.jsonObject.orEmpty()
            (old.keys + new.keys).filter { old[it] != new[it] }.map {
                SettingsDifference(section, it, old[it]?.toString(), new[it]?.toString())
            }
        }

    private fun scopes(state: SettingsState): List<Pair<String?, String?>> =
        listOf(null to null) + state.document.organisations.flatMap { (name, organisation) ->
            listOf(name to null) + organisation.services.keys.map { name to it }
        }

    private fun levels(
        document: SettingsDocument,
        organisation: String?,
        service: String?
    ): List<Pair<String, Overrides>> {
        val branch = document.organisations[organisation]
        val leaf = branch?.services?.get(service)
        return listOfNotNull(
            FLEET to document.defaults,
            branch?.let { organisation.toString() to it.overrides },
            leaf?.let { "$organisation/$service" to it.overrides }
        )
    }

    private fun effective(state: SettingsState, organisation: String?, service: String?) =
        json.encodeToJsonElement(
            EffectiveSettings.serializer(),
            state.effective(
                OrganisationId(organisation.orEmpty()),
                service?.let { ServiceName(it) }
            )
        ).jsonObject

    private fun explicitValues(overrides: Overrides): JsonObject =
        Json.encodeToJsonElement(Overrides.serializer(), overrides).jsonObject
}
