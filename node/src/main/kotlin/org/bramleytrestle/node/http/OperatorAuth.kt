package org.bramleytrestle.node.http

import io.javalin.http.Context
import java.security.MessageDigest
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.node.config.OperatorToken

/** Authenticates operators by the SHA-256 hashes of their bearer tokens. */
internal class OperatorAuth(private val tokens: List<OperatorToken>) {
    /** Returns the name of the operator who sent [ctx]; throws if the token is unknown. */
    fun operator(ctx: Context): String {
        val token = ctx.header("Authorization")?.removePrefix("Bearer ")
        val hash = token?.let(::sha256)
        val matching = tokens.filter { hash != null && constantTimeEquals(it.sha256, hash) }
        return matching.firstOrNull()?.name ?: throw FailureException(
            ErrorKind.UNAUTHENTICATED,
            "header Authorization: expected 'Bearer' and a valid token"
        )
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }

    private fun constantTimeEquals(a: String, b: String) =
        MessageDigest.isEqual(a.toByteArray(), b.toByteArray())
}
