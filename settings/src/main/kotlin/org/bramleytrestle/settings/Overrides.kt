package org.bramleytrestle.settings

import kotlinx.serialization.Serializable
import org.bramleytrestle.model.RepeatPolicy

/**
 * The settings one level of the tree states itself. Null means inherited, so that a change at a
 * higher level reaches every branch that does not override it.
 *
 * @property newShare share of requests for the new side, 0 to 1.
 * @property weight share of capacity relative to other organisations, above 0.
 * @property tokensPerSecond limit over all nodes in prompt and generated tokens per second.
 * @property deadlineMillis time for a whole answer when the caller states none, in milliseconds.
 * @property maxTokens most tokens that one answer may have.
 * @property shortTokens work of at most this many expected tokens is short.
 * @property shortReserve share of a server's slots that is closed to long work, 0 to 1.
 * @property maxAttempts most attempts of one request, the first included.
 * @property retryBudget retries as a fraction of first attempts, 0 to 1.
 * @property homeNodes number of nodes to which the callers of an organisation are directed.
 * @property operations repeat policy by `METHOD /path`; merged by key.
 * @property models names of the models that may be used; replaced as a whole; empty means all.
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
