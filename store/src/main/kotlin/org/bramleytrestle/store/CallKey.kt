package org.bramleytrestle.store

import java.security.MessageDigest
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.ServiceName

/** Names one logical call across all its repetitions by the caller. */
public data class CallKey(
    val organisation: OrganisationId,
    val service: ServiceName,
    val idempotencyKey: String
) {
    /** Hashed, because a key may hold any characters; lengths keep the parts apart. */
    internal val recordName: String by lazy {
        val parts = listOf(organisation.value, service.value, idempotencyKey)
        val text = parts.joinToString("") { "${it.length}:$it" }
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }
    }
}
