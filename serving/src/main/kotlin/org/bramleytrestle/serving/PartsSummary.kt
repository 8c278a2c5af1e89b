package org.bramleytrestle.serving

/** A prompt may have thousands of parts. */
private const val LOGGED_PARTS = 64

/** Lists [parts] for a log line, the first ones if there are many. */
internal fun summarise(parts: Collection<String>): String =
    parts.joinToString(prefix = "[", postfix = "]", limit = LOGGED_PARTS)
