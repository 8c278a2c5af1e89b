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

/** Checked headers that every call of a caller shares. */
internal class CallerHeaders(private val ctx: Context) {
    val organisation: OrganisationId = OrganisationId(
        ctx.header(ORGANISATION)?.takeIf { it.isNotBlank() }
            ?: bad("header $ORGANISATION: got nothing, expected the id of an organisation")
    )

    // The suffix keeps two requests apart that a caller gives the same id.
    val request: RequestId = RequestId(
        ctx.header(REQUEST_ID)?.also(::checkId)?.let { "$it-${shortId()}" }
            ?: UUID.randomUUID().toString()
    )

    val callerKey: String = ctx.header(CALLER_KEY) ?: ctx.header(REQUEST_ID) ?: request.value

    /** The earlier of the caller's deadline and that of the settings. */
    fun deadline(
        settings: EffectiveSettings,
        clock: TimeSource.WithComparableMarks
    ): ComparableTimeMark {
        val asked = ctx.header(DEADLINE)
        val millis = if (asked == null) {
            settings.deadlineMillis
        } else {
            asked.toLongOrNull()?.takeIf { it > 0 }
                ?: bad("header $DEADLINE: got $asked, expected milliseconds above 0")
        }
        return clock.markNow() + minOf(millis, settings.deadlineMillis).milliseconds
    }

    private fun checkId(id: String) {
        if (!requestId.matches(id)) {
            bad("header $REQUEST_ID: expected 1 to 100 letters, digits, dots or dashes")
        }
    }

    private fun shortId() = UUID.randomUUID().toString().take(SHORT_ID_CHARS)

    private fun bad(detail: String): Nothing = throw FailureException(ErrorKind.BAD_REQUEST, detail)

    companion object {
        const val ORGANISATION = "X-Organisation"
        const val SERVICE = "X-Service"
        const val REQUEST_ID = "X-Request-Id"
        const val DEADLINE = "X-Deadline-Ms"
        const val CALLER_KEY = "X-Caller-Key"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        private const val SHORT_ID_CHARS = 8
        private val requestId = Regex("[A-Za-z0-9._-]{1,100}")
    }
}
