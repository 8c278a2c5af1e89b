package org.bramleytrestle.settings

/** Checks rules across several values of a document that already matches [settingsSchema]. */
internal class SettingsConsistency(private val document: SettingsDocument) {
    private val errors = mutableListOf<SettingsError>()

    fun check(): List<SettingsError> {
        document.pools.forEach { (name, pool) -> checkPool("pools.$name", pool) }
        checkOverrides("defaults", document.defaults)
        val fleet = EffectiveSettings().overriddenBy(document.defaults)
        for ((name, organisation) in document.organisations) {
            val path = "organisations.$name"
            checkOverrides("$path.overrides", organisation.overrides)
            val limit = fleet.overriddenBy(organisation.overrides).tokensPerSecond
            for ((service, settings) in organisation.services) {
                val servicePath = "$path.services.$service.overrides"
                checkOverrides(servicePath, settings.overrides)
                checkLimit(servicePath, settings.overrides, limit)
            }
        }
        return errors
    }

    private fun checkPool(path: String, pool: PoolSettings) {
        when (pool.kind) {
            PoolKind.ENGINE -> when (pool.model) {
                null -> add("$path.model", "nothing", "the model of an engine pool")
                !in document.models -> add("$path.model", pool.model, "a name under models")
            }
            PoolKind.SERVICE -> if (pool.service == null) {
                add("$path.service", "nothing", "the service of a service pool")
            }
        }
    }

    private fun checkOverrides(path: String, overrides: Overrides) {
        for ((i, name) in overrides.models.orEmpty().withIndex()) {
            if (name !in document.models) add("$path.models[$i]", name, "a name under models")
        }
        val budget = overrides.retryBudget ?: 0.0
        if (overrides.maxAttempts == 1 && budget > 0) {
            add("$path.retryBudget", "$budget", "0 or no value, because maxAttempts is 1")
        }
    }

    private fun checkLimit(path: String, overrides: Overrides, organisationLimit: Double) {
        val limit = overrides.tokensPerSecond ?: return
        if (limit > organisationLimit) {
            val expected = "at most the organisation's limit of $organisationLimit"
            add("$path.tokensPerSecond", "$limit", expected)
        }
    }

    private fun add(path: String, value: String, expected: String) {
        errors += SettingsError(path, value, expected)
    }
}
