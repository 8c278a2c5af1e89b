package org.bramleytrestle.node.http

import com.github.michaelbull.result.fold
import io.javalin.http.Context
import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.TokenEvent
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.node.request.CompletionExecutor
import org.bramleytrestle.node.request.CompletionRequest
import org.bramleytrestle.settings.EffectiveSettings
import org.bramleytrestle.settings.ModelSettings
import org.bramleytrestle.settings.SettingsState

/**
 * `POST /v1/chat/completions`. Tokens are generated independently of the thread that writes the
 * response, so that a slow caller occupies a buffer on this node and no slot of an engine.
 */
internal class CompletionHandler(
    private val executor: CompletionExecutor,
    private val settings: () -> SettingsState,
    private val clock: TimeSource.WithComparableMarks,
    private val metrics: NodeMetrics,
    private val scope: CoroutineScope
) {
    private val json = Json { ignoreUnknownKeys = true }

    fun handle(ctx: Context) {
        val chat = parse(ctx.body())
        val state = settings()
        val headers = CallerHeaders(ctx)
        val service = ServiceName(ctx.header(CallerHeaders.SERVICE) ?: chat.model)
        val effective = state.effective(headers.organisation, service)
        val model = requireAllowedModel(chat.model, state, effective)
        val request = CompletionRequest(
            id = headers.request,
            organisation = headers.organisation,
            service = service,
            model = ModelName(chat.model),
            prompt = chat.prompt(),
            maxTokens = minOf(chat.maxTokens ?: effective.maxTokens, effective.maxTokens),
            deadline = headers.deadline(effective, clock),
            callerKey = chat.user ?: headers.callerKey
        )
        ctx.header(CallerHeaders.REQUEST_ID, request.id.value)
        runBlocking { serve(ctx, request, model, chat.stream) }
    }

    private fun parse(body: String): ChatRequest {
        val chat = try {
            json.decodeFromString(ChatRequest.serializer(), body)
        } catch (e: SerializationException) {
            throw FailureException(ErrorKind.BAD_REQUEST, "body: ${e.message}")
        }
        if (chat.messages.isEmpty()) {
            throw FailureException(
                ErrorKind.BAD_REQUEST,
                "messages: got none, expected one or more"
            )
        }
        if (chat.maxTokens != null && chat.maxTokens <= 0) {
            val detail = "max_tokens: got ${chat.maxTokens}, expected 1 or more"
            throw FailureException(ErrorKind.BAD_REQUEST, detail)
        }
        return chat
    }

    private fun requireAllowedModel(
        name: String,
        state: SettingsState,
        effective: EffectiveSettings
    ): ModelSettings {
        if (effective.models.isNotEmpty() && name !in effective.models) {
            val detail = "model: got $name, expected one of ${effective.models.joinToString()}"
            throw FailureException(ErrorKind.MODEL_NOT_ALLOWED, detail)
        }
        return state.document.models[name]
            ?: throw FailureException(ErrorKind.NOT_FOUND, "model: $name is not configured")
    }

    private suspend fun serve(
        ctx: Context,
        request: CompletionRequest,
        model: ModelSettings,
        stream: Boolean
    ) {
        val tokens = Channel<TokenEvent>(Channel.UNLIMITED)
        val result = scope.async {
            try {
                executor.run(request, model) { tokens.send(it) }
            } finally {
                tokens.close()
            }
        }
        val responses = ChatResponses(request.id.value, request.model.value, createdSeconds())
        try {
            if (stream) {
                val events = EventStream(ctx, responses)
                events.writeTokens(tokens)
                result.await().fold({ events.finish(it.finishReason) }, { events.fail(it) })
            } else {
                val text = StringBuilder()
                var count = 0
                for (token in tokens) {
                    text.append(token.text)
                    count++
                }
                result.await().fold(
                    { end ->
                        Invariants.check("whole-answer", end.tokens == count) {
                            "request ${request.id}: wrote $count of ${end.tokens} tokens"
                        }
                        val body = responses.completion(
                            text = "$text",
                            finishReason = end.finishReason,
                            promptTokens = request.promptTokens,
                            tokens = end.tokens
                        )
                        ctx.contentType("application/json").result(body.toString())
                    },
                    { Problem.respond(ctx, it) }
                )
            }
            result.await().fold({
                metrics.recordOutcome("completed")
            }, { metrics.recordOutcome(it.kind) })
        } catch (e: IOException) {
            metrics.recordOutcome("cancelled")
        } finally {
            result.cancel()
        }
    }

    private fun createdSeconds() = System.currentTimeMillis() / MILLIS_PER_SECOND

    /** The event stream of one response. The status line is sent with the first event. */
    private class EventStream(private val ctx: Context, private val responses: ChatResponses) {
        private var writer: SseWriter? = null
        private var written = 0

        suspend fun writeTokens(tokens: Channel<TokenEvent>) {
            tokens.consumeWithIdle(
                // Only a write detects that the caller has disconnected.
                idle = PING_INTERVAL,
                onIdle = { writer?.ping() },
                onItem = { token ->
                    Invariants.check("whole-answer", token.index == written++) {
                        "request ${token.request}: token ${token.index} is written as $written"
                    }
                    openWriter().data(responses.chunk(token.text, null).toString())
                }
            )
        }

        fun finish(finishReason: String) {
            openWriter().data(responses.chunk(null, finishReason).toString())
            openWriter().data("[DONE]")
        }

        fun fail(failure: Failure) {
            val openedWriter = writer
            if (openedWriter == null) {
                Problem.respond(ctx, failure)
            } else {
                openedWriter.data(Problem.of(failure).json(), event = "error")
            }
        }

        private fun openWriter(): SseWriter = writer ?: run {
            ctx.status(STATUS_OK).contentType("text/event-stream")
            ctx.header("Cache-Control", "no-cache")
            SseWriter(ctx.res().outputStream).also { writer = it }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val STATUS_OK = 200
        val PING_INTERVAL = 1.seconds
    }
}
