package org.bramleytrestle.node.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.node.settings.ChangeRequest
import org.bramleytrestle.node.settings.ChangeWriter
import org.bramleytrestle.node.settings.SettingsHolder
import org.bramleytrestle.settings.Change
import org.bramleytrestle.settings.EffectiveValue
import org.bramleytrestle.settings.SettingsDifference
import org.bramleytrestle.settings.SettingsReport
import org.bramleytrestle.store.StoreError

private val log = KotlinLogging.logger {}

/**
 * Handlers of the operator API.
 *
 * @property readChanges reads accepted changes after a revision from the platform, up to a limit.
 * @property startDrain starts the drain of an instance; returns false if the instance is not
 * known to this node.
 */
internal class AdminHandlers(
    private val auth: OperatorAuth,
    private val holder: SettingsHolder,
    private val writer: ChangeWriter,
    private val status: () -> NodeStatus,
    private val readChanges: suspend (Long, Int) -> Result<List<Change>, StoreError>,
    private val startDrain: (InstanceId) -> Boolean
) {
    fun register(routes: RoutesConfig) {
        routes.get("/admin/settings") { it.authenticated { settings(this) } }
        routes.get("/admin/effective") { it.authenticated { effective(this) } }
        routes.post("/admin/plan") { it.authenticated { plan(this) } }
        routes.post("/admin/changes") { ctx -> change(ctx, auth.operator(ctx)) }
        routes.get("/admin/changes") { it.authenticated { changes(this) } }
        routes.get("/admin/changes/{revision}") { it.authenticated { changeAt(this) } }
        routes.get("/admin/status") { it.authenticated { status(this) } }
        routes.post("/admin/drain") { ctx -> drain(ctx, auth.operator(ctx)) }
    }

    private fun Context.authenticated(handler: Context.() -> Unit) {
        auth.operator(this)
        handler()
    }

    private fun status(ctx: Context) = ctx.respond(NodeStatus.serializer(), status())

    private fun settings(ctx: Context) {
        val state = holder.state
        ctx.respond(SettingsView.serializer(), SettingsView(state.revision, state.tree))
    }

    private fun effective(ctx: Context) {
        val path = ctx.queryParam("path").orEmpty().split('/').filter { it.isNotEmpty() }
        if (path.size > 2) {
            badRequest("path: got ${path.size} levels, expected organisation/service")
        }
        val values = SettingsReport.values(holder.state, path.getOrNull(0), path.getOrNull(1))
        ctx.respond(ListSerializer(EffectiveValue.serializer()), values)
    }

    private fun plan(ctx: Context) {
        val request = ctx.parse(PlanRequest.serializer())
        val before = holder.state
        val after = before.patched(request.patch).getOrElse { errors ->
            fail(Failure(ErrorKind.INVALID_SETTINGS, errors.joinToString("; ")))
        }
        val differences = SettingsReport.differences(before, after)
        ctx.respond(ListSerializer(SettingsDifference.serializer()), differences)
    }

    private fun change(ctx: Context, operator: String) {
        val request = ctx.parse(ChangeRequest.serializer())
        if (request.changeId.isBlank()) badRequest("changeId: got an empty string, expected an id")
        if (request.reason.isBlank()) badRequest("reason: got an empty string, expected a reason")
        val change = runBlocking { writer.write(request, operator) }.getOrElse { fail(it) }
        log.info { "node: audit: $operator changed settings to revision ${change.revision}" }
        ctx.respond(Change.serializer(), change)
    }

    private fun changes(ctx: Context) {
        val after = ctx.longParam("after", default = 0)
        val limit = ctx.longParam("limit", default = DEFAULT_PAGE_SIZE).coerceIn(1, MAX_PAGE_SIZE)
        ctx.respond(ListSerializer(Change.serializer()), readAfter(after, limit.toInt()))
    }

    private fun changeAt(ctx: Context) {
        val text = ctx.pathParam("revision")
        val revision = text.toLongOrNull()?.takeIf { it > 0 }
            ?: badRequest("revision: got $text, expected a number above 0")
        val change = readAfter(revision - 1, limit = 1).firstOrNull { it.revision == revision }
            ?: fail(Failure(ErrorKind.NOT_FOUND, "revision $revision does not exist"))
        ctx.respond(Change.serializer(), change)
    }

    private fun drain(ctx: Context, operator: String) {
        val instance =
            ctx.queryParam("instance") ?: badRequest("instance: got no value, expected an id")
        if (!startDrain(InstanceId(instance))) {
            fail(Failure(ErrorKind.NOT_FOUND, "instance $instance is not known to this node"))
        }
        log.info { "node: audit: $operator started the drain of instance $instance" }
        ctx.status(STATUS_ACCEPTED)
    }

    private fun readAfter(after: Long, limit: Int): List<Change> =
        runBlocking { readChanges(after, limit) }.getOrElse { error ->
            fail(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the object API returned $error"))
        }

    private fun Context.longParam(name: String, default: Long): Long {
        val text = queryParam(name) ?: return default
        return text.toLongOrNull() ?: badRequest("$name: got $text, expected an integer")
    }

    private fun <T> Context.parse(serializer: KSerializer<T>): T = try {
        Json.decodeFromString(serializer, body())
    } catch (e: SerializationException) {
        badRequest("body: ${e.message}")
    }

    private fun <T> Context.respond(serializer: KSerializer<T>, value: T) {
        contentType("application/json").result(Json.encodeToString(serializer, value))
    }

    private fun badRequest(detail: String): Nothing = fail(Failure(ErrorKind.BAD_REQUEST, detail))

    private fun fail(failure: Failure): Nothing = throw FailureException(failure)

    private companion object {
        const val DEFAULT_PAGE_SIZE = 50L
        const val MAX_PAGE_SIZE = 500L
        const val STATUS_ACCEPTED = 202
    }
}
