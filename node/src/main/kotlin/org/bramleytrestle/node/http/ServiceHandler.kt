package org.bramleytrestle.node.http

import com.github.michaelbull.result.fold
import io.javalin.http.Context
import kotlin.time.TimeSource
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.backend.ServiceOutcome
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.node.request.ServiceExecutor
import org.bramleytrestle.node.request.ServiceRequest
import org.bramleytrestle.node.request.repeatPolicy
import org.bramleytrestle.settings.SettingsState

/** `/services/{service}/...`: forwards a call to a plain service according to its repeat policy. */
internal class ServiceHandler(
    private val executor: ServiceExecutor,
    private val settings: () -> SettingsState,
    private val clock: TimeSource.WithComparableMarks,
    private val metrics: NodeMetrics
) {
    fun handle(ctx: Context) {
        val request = parseRequest(ctx)
        ctx.header(CallerHeaders.REQUEST_ID, request.id.value)
        runBlocking { executor.run(request) }.fold(
            { answer ->
                metrics.recordOutcome("completed")
                respond(ctx, answer)
            },
            { failure ->
                metrics.recordOutcome(failure.kind)
                Problem.respond(ctx, failure)
            }
        )
    }

    private fun parseRequest(ctx: Context): ServiceRequest {
        val headers = CallerHeaders(ctx)
        val service = ServiceName(ctx.pathParam("service"))
        val path = "/" + ctx.path().removePrefix("/services/").substringAfter('/', "")
        val effective = settings().effective(headers.organisation, service)
        val method = ctx.method().name
        return ServiceRequest(
            id = headers.request,
            organisation = headers.organisation,
            service = service,
            method = method,
            path = path + ctx.queryString()?.let { "?$it" }.orEmpty(),
            headers = ctx.headerMap().filterKeys { it.lowercase() in FORWARDED_HEADERS },
            body = ctx.bodyAsBytes().takeIf { it.isNotEmpty() },
            policy = repeatPolicy(effective.operations, method, path),
            idempotencyKey = idempotencyKey(ctx),
            deadline = headers.deadline(effective, clock),
            callerKey = headers.callerKey
        )
    }

    private fun idempotencyKey(ctx: Context): String? {
        val key = ctx.header(CallerHeaders.IDEMPOTENCY_KEY) ?: return null
        if (key.isBlank() || key.length > MAX_KEY_CHARS) {
            val detail = "header ${CallerHeaders.IDEMPOTENCY_KEY}: expected 1 to $MAX_KEY_CHARS" +
                " characters"
            throw FailureException(ErrorKind.BAD_REQUEST, detail)
        }
        return key
    }

    private fun respond(ctx: Context, answer: ServiceOutcome.Answer) {
        ctx.status(answer.status)
        answer.headers.filterKeys { it.lowercase() in RETURNED_HEADERS }
            .forEach { (name, value) -> ctx.header(name, value) }
        ctx.result(answer.body)
    }

    private companion object {
        const val MAX_KEY_CHARS = 255
        val FORWARDED_HEADERS = setOf(
            "accept",
            "accept-language",
            "authorization",
            "content-type",
            "idempotency-key",
            "x-organisation"
        )
        val RETURNED_HEADERS =
            setOf("content-type", "content-language", "etag", "last-modified", "location")
    }
}
