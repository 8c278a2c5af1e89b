package org.bramleytrestle.serving

import java.security.MessageDigest
import java.util.HexFormat

/**
 * What a request asks for, whoever receives it and however often it comes.
 *
 * @property parts ids of the parts of its prompt that other prompts may contain too.
 * @property id the same for all repeats of a request, and for no other request.
 */
public data class RequestContent(val parts: List<String>, val id: String) {
    /** A prompt may have thousands of parts, and so may a group of blamed ones. */
    private val partSet by lazy(LazyThreadSafetyMode.PUBLICATION) { parts.toHashSet() }

    /** Whether the prompt contains all of [group]. */
    internal fun containsAll(group: Set<String>): Boolean = partSet.containsAll(group)

    public companion object {
        /** Two different requests with the same id would have to be looked for on purpose. */
        private const val ID_BYTES = 16

        /** The content of [request]; its id is a hash of the caller's key, path, prompt and body. */
        public fun of(request: CallerRequest): RequestContent {
            val digest = MessageDigest.getInstance("SHA-256")
            val prompt = request.prompt
            val texts = listOf(request.key, request.host, request.method, request.target) +
                prompt?.shared.orEmpty() + prompt?.own
            for (text in texts) {
                digest.update(text.orEmpty().toByteArray())
                // No header or path contains a line feed.
                digest.update('\n'.code.toByte())
            }
            val hash = digest.digest(request.body)
            val id = HexFormat.of().formatHex(hash, 0, ID_BYTES)
            return RequestContent(prompt?.shared.orEmpty(), id)
        }
    }
}
