package org.bramleytrestle.node.request

/** Summary of a completion that succeeded. */
internal data class CompletionSummary(val tokens: Int, val finishReason: String, val attempts: Int)
