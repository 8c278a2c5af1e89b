package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.RepeatPolicy

/** Settings of one service after inheritance. [Overrides] documents the units. */
@Serializable
public data class EffectiveSettings(
    val newShare: Double = 0.5,
    val weight: Double = 1.0,
    val tokensPerSecond: Double = 1_000_000.0,
    val deadlineMillis: Long = 60_000,
    val maxTokens: Int = 4_096,
    val shortTokens: Int = 64,
    val shortReserve: Double = 0.25,
    val maxAttempts: Int = 4,
    val retryBudget: Double = 0.2,
    val homeNodes: Int = 3,
    val operations: Map<String, RepeatPolicy> = emptyMap(),
    val models: List<String> = emptyList()
) {
    /** Returns a copy with the non-null values of [overrides]; operations are merged by key. */
    internal fun overriddenBy(overrides: Overrides): EffectiveSettings = EffectiveSettings(
        newShare = overrides.newShare ?: newShare,
        weight = overrides.weight ?: weight,
        tokensPerSecond = overrides.tokensPerSecond ?: tokensPerSecond,
        deadlineMillis = overrides.deadlineMillis ?: deadlineMillis,
        maxTokens = overrides.maxTokens ?: maxTokens,
        shortTokens = overrides.shortTokens ?: shortTokens,
        shortReserve = overrides.shortReserve ?: shortReserve,
        maxAttempts = overrides.maxAttempts ?: maxAttempts,
        retryBudget = overrides.retryBudget ?: retryBudget,
        homeNodes = overrides.homeNodes ?: homeNodes,
        operations = operations + overrides.operations.orEmpty(),
        models = overrides.models ?: models
    )
}
