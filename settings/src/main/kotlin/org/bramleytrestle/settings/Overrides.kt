package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.RepeatPolicy

/**
 * The settings that one level of the tree sets explicitly. Null means inherited, so that a change
 * at a higher level applies to every branch that does not override it.
 *
 * @property newShare fraction of requests that are routed to the new side, 0 to 1.
 * @property weight share of capacity relative to other organisations, above 0.
 * @property tokensPerSecond limit across all nodes, in prompt and generated tokens per second.
 * @property deadlineMillis deadline of a response if the caller sets none, in milliseconds.
 * @property maxTokens maximum number of tokens in one response.
 * @property shortTokens maximum number of expected tokens for which work counts as short.
 * @property shortReserve fraction of a server's slots that is reserved for short work, 0 to 1.
 * @property maxAttempts maximum number of attempts per request, including the first.
 * @property retryBudget maximum ratio of retries to first attempts, 0 to 1.
 * @property homeNodes number of nodes that the callers of an organisation are directed to.
 * @property operations repeat policy by `METHOD /path`; merged by key.
 * @property models names of the allowed models; not merged with inherited ones; empty allows all.
 */
@Serializable
public data class Overrides(
    val newShare: Double? = null,
    val weight: Double? = null,
    val tokensPerSecond: Double? = null,
    val deadlineMillis: Long? = null,
    val maxTokens: Int? = null,
    val shortTokens: Int? = null,
    val shortReserve: Double? = null,
    val maxAttempts: Int? = null,
    val retryBudget: Double? = null,
    val homeNodes: Int? = null,
    val operations: Map<String, RepeatPolicy>? = null,
    val models: List<String>? = null
)
