package org.bramleytrestle.node.request

/** The successful end of a completion. */
internal data class CompletionEnd(val tokens: Int, val finishReason: String, val attempts: Int)
