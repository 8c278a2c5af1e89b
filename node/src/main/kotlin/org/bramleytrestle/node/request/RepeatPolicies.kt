package org.bramleytrestle.node.request

import org.bramleytrestle.model.RepeatPolicy

/**
 * Returns the repeat policy of the longest configured operation `METHOD /path` that is a prefix of
 * the call and ends at a path segment. Without such an operation, reads are repeatable and all
 * other calls are never repeated, so that a missing setting cannot cause a call to run twice.
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
