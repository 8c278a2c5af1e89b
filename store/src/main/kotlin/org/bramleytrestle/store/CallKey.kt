package org.bramleytrestle.store

import java.security.MessageDigest
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName

/** Identifies one logical call across all retries by the caller. */
public data class CallKey(
    val organisation: OrganisationId,
    val service: ServiceName,
    val idempotencyKey: String
) {
    /**
     * Name of the call's record. It is a hash because a key may contain any characters; the parts
     * are length-prefixed so that different keys never produce the same input.
     */
    internal val recordName: String by lazy {
        val parts = listOf(organisation.value, service.value, idempotencyKey)
        val text = parts.joinToString("") { "${it.length}:$it" }
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }
    }
}
