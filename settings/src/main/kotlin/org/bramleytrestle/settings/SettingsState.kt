package org.bramleytrestle.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.json.JsonObject
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName

/** The settings at one revision. Immutable, so that a request sees a single revision. */
public class SettingsState private constructor(
    public val revision: Long,
    public val tree: JsonObject,
    public val document: SettingsDocument
) {
    private val fleet = EffectiveSettings().overriddenBy(document.defaults)

    /** The settings of [service] after inheritance; unknown names inherit every value. */
    public fun effective(
        organisation: OrganisationId,
        service: ServiceName? = null
    ): EffectiveSettings {
        val branch = document.organisations[organisation.value] ?: return fleet
        val settings = fleet.overriddenBy(branch.overrides)
        val leaf = service?.let { branch.services[it.value] } ?: return settings
        return settings.overriddenBy(leaf.overrides)
    }

    /** Returns the state after [patch], or all validation errors of the patched tree. */
    public fun patched(patch: JsonObject): Result<SettingsState, List<SettingsError>> =
        of(revision + 1, mergePatch(tree, patch) as JsonObject)

    /** Returns the patch that turns this state into [target]. */
    public fun patchTo(target: SettingsState): JsonObject = mergePatchBetween(tree, target.tree)

    /** Returns the state after [change], which must have the next revision. */
    public fun withChange(change: Change): Result<SettingsState, List<SettingsError>> {
        require(change.revision == revision + 1) {
            "change ${change.revision}: expected revision ${revision + 1}"
        }
        return patched(change.patch)
    }

    public companion object {
        public val EMPTY: SettingsState =
            SettingsState(0, JsonObject(emptyMap()), SettingsDocument())

        /** Validates [tree] and returns it as the state at [revision]. */
        public fun of(
            revision: Long,
            tree: JsonObject
        ): Result<SettingsState, List<SettingsError>> =
            SettingsValidation.decode(tree).map { SettingsState(revision, tree, it) }
    }
}
