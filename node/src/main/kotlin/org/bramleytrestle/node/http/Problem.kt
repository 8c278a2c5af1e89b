package org.bramleytrestle.node.http

import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.Failure

/** Problem document (RFC 9457) of a failure. */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val kind: String,
    val executed: String
) {
    fun json(): String = Json.encodeToString(serializer(), this)

    companion object {
        const val CONTENT_TYPE = "application/problem+json"
        private const val DEFAULT_RETRY_AFTER_SECONDS = 1

        fun of(failure: Failure): Problem = with(failure.kind) {
            Problem(
                type = "urn:bramleytrestle:error:$wireName",
                title = title,
                status = status,
                detail = failure.detail,
                kind = wireName,
                executed = executed.wireName
            )
        }

        /** Sends [failure] as the response to [ctx]. */
        fun respond(ctx: Context, failure: Failure) {
            val problem = of(failure)
            ctx.status(problem.status).contentType(CONTENT_TYPE)
            if (failure.kind.retryable) {
                val seconds = failure.retryAfterSeconds ?: DEFAULT_RETRY_AFTER_SECONDS
                ctx.header("Retry-After", seconds.toString())
            }
            ctx.result(problem.json())
        }
    }
}
