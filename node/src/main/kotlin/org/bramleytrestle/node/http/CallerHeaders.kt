package org.bramleytrestle.node.http

import io.javalin.http.Context
import java.util.UUID
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.settings.EffectiveSettings

/** Validated headers common to all calls from callers. */
internal class CallerHeaders(private val ctx: Context) {
    val organisation: OrganisationId = OrganisationId(
        ctx.header(ORGANISATION)?.takeIf { it.isNotBlank() }
            ?: badRequest("header $ORGANISATION: got no value, expected the id of an organisation")
    )

    // The suffix distinguishes requests to which a caller has given the same id.
    val request: RequestId = RequestId(
        ctx.header(REQUEST_ID)?.also(::requireValidId)?.let { "$it-${shortId()}" }
            ?: UUID.randomUUID().toString()
    )

    val callerKey: String = ctx.header(CALLER_KEY) ?: ctx.header(REQUEST_ID) ?: request.value

    /** Returns the earlier of the deadline in the header and the one in the settings. */
    fun deadline(
        settings: EffectiveSettings,
        clock: TimeSource.WithComparableMarks
    ): ComparableTimeMark {
        val requested = ctx.header(DEADLINE)
        val millis = if (requested == null) {
            settings.deadlineMillis
        } else {
            requested.toLongOrNull()?.takeIf { it > 0 }
                ?: badRequest("header $DEADLINE: got $requested, expected milliseconds above 0")
        }
        return clock.markNow() + minOf(millis, settings.deadlineMillis).milliseconds
    }

    private fun requireValidId(id: String) {
        if (!REQUEST_ID_PATTERN.matches(id)) {
            badRequest("header $REQUEST_ID: expected 1 to 100 letters, digits, dots or dashes")
        }
    }

    private fun shortId() = UUID.randomUUID().toString().take(SHORT_ID_CHARS)

    private fun badRequest(detail: String): Nothing =
        throw FailureException(ErrorKind.BAD_REQUEST, detail)

    companion object {
        const val ORGANISATION = "X-Organisation"
        const val SERVICE = "X-Service"
        const val REQUEST_ID = "X-Request-Id"
        const val DEADLINE = "X-Deadline-Ms"
        const val CALLER_KEY = "X-Caller-Key"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        private const val SHORT_ID_CHARS = 8
        private val REQUEST_ID_PATTERN = Regex("[A-Za-z0-9._-]{1,100}")
    }
}
