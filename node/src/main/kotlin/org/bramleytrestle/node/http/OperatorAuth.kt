package org.bramleytrestle.node.http

import io.javalin.http.Context
import java.security.MessageDigest
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.node.config.OperatorToken

/** Checks bearer tokens of operators against their hashes. */
internal class OperatorAuth(private val tokens: List<OperatorToken>) {
    /** The operator that [ctx] comes from; leaves the handler if its token is not known. */
    fun operator(ctx: Context): String {
        val token = ctx.header("Authorization")?.removePrefix("Bearer ")
        val hash = token?.let(::sha256)
        val known = tokens.filter { hash != null && sameText(it.sha256, hash) }
        return known.firstOrNull()?.name ?: throw FailureException(
            ErrorKind.UNAUTHENTICATED,
            "header Authorization: expected 'Bearer' and a known token"
        )
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }

    private fun sameText(a: String, b: String) =
        MessageDigest.isEqual(a.toByteArray(), b.toByteArray())
}
