package org.bramleytrestle.node.config

import kotlinx.serialization.Serializable

/**
 * A bearer token of an operator.
 *
 * @property name recorded in the audit trail as the author of changes.
 * @property sha256 SHA-256 of the token in lower-case hexadecimal; the token itself is not stored.
 */
@Serializable
internal data class OperatorToken(val name: String, val sha256: String) {
    init {
        require(SHA256_PATTERN.matches(sha256)) {
            "sha256 of operator token $name: expected 64 lower-case hexadecimal digits"
        }
    }

    private companion object {
        val SHA256_PATTERN = Regex("[0-9a-f]{64}")
    }
}
