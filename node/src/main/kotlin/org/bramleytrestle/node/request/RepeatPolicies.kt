package org.bramleytrestle.node.request

import org.bramleytrestle.model.RepeatPolicy

/**
 * The policy of `METHOD /path` from the longest operation that matches at a path segment. Reads
 * default to repeatable, everything else to never, so that a missing setting cannot double a call.
 */
internal fun repeatPolicy(
    operations: Map<String, RepeatPolicy>,
    method: String,
    path: String
): RepeatPolicy {
    val call = "$method ${path.substringBefore('?')}"
    val match = operations.keys
        .filter { call == it || call.startsWith(it.trimEnd('/') + "/") }
        .maxByOrNull { it.length }
    return operations[match] ?: when (method) {
        "GET", "HEAD" -> RepeatPolicy.REPEATABLE
        else -> RepeatPolicy.NEVER
    }
}
