package org.bramleytrestle.node.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import io.javalin.http.HttpResponseException
import jakarta.servlet.DispatcherType
import java.util.EnumSet
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.node.config.ListenAddress
import org.eclipse.jetty.util.thread.QueuedThreadPool

private val log = KotlinLogging.logger {}

/**
 * An HTTP listener that sends all errors as problem documents.
 *
 * @param around wraps each exchange until its response has been written.
 */
internal class HttpListener(
    private val address: ListenAddress,
    maxBodyBytes: Long,
    around: (exchange: () -> Unit) -> Unit = { it() },
    routes: RoutesConfig.() -> Unit
) {
    private val app = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.maxRequestSize = maxBodyBytes
        config.jetty.modifyHttpConfiguration { it.requestHeaderSize = MAX_HEADER_BYTES }
        config.jetty.modifyServletContextHandler {
            val filter = AroundFilter(around)
            it.addFilter(filter, "/*", EnumSet.of(DispatcherType.REQUEST))
        }
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
        config.routes.apply(routes)
        config.routes.exception(FailureException::class.java) { e, ctx ->
            Problem.respond(ctx, e.failure)
        }
        config.routes.exception(HttpResponseException::class.java) { e, ctx ->
            Problem.respond(ctx, Failure(errorKind(e.status), e.message.orEmpty()))
        }
        config.routes.exception(Exception::class.java) { e, ctx ->
            log.error(e) { "node: ${ctx.method()} ${ctx.path()} failed" }
            Problem.respond(
                ctx,
                Failure(ErrorKind.INTERNAL, "the node failed to handle the request")
            )
        }
    }

    val port: Int get() = app.port()

    fun start() {
        app.start(address.host, address.port)
    }

    fun stop() {
        app.stop()
    }

    private fun errorKind(status: Int): ErrorKind = when (status) {
        STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED -> ErrorKind.NOT_FOUND
        STATUS_CONTENT_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE
        else -> ErrorKind.BAD_REQUEST
    }

    private companion object {
        const val MAX_HEADER_BYTES = 16_384

        // One thread per request in flight. The planned load is 39 requests/s of 7 s each.
        const val MAX_THREADS = 600
        const val STATUS_NOT_FOUND = 404
        const val STATUS_METHOD_NOT_ALLOWED = 405
        const val STATUS_CONTENT_TOO_LARGE = 413
    }
}
