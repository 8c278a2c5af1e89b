package org.bramleytrestle.node.http

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.bramleytrestle.backend.Backends
import org.bramleytrestle.backend.ChainWork
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.cluster.Member
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.node.config.NodeConfig
import org.bramleytrestle.node.drain.Drain
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.node.request.AttemptRetrier
import org.bramleytrestle.node.request.CallRecorder
import org.bramleytrestle.node.request.CompletionExecutor
import org.bramleytrestle.node.request.DispatchAcquirer
import org.bramleytrestle.node.request.ServiceExecutor
import org.bramleytrestle.routing.RequestRouter
import org.bramleytrestle.settings.SettingsState

/**
 * Registers the routes of the listener for callers.
 *
 * @property usable whether a backend server may currently get new work.
 * @property onFailure called with each server that fails a request.
 */
internal class CallerRoutes(
    private val config: NodeConfig,
    private val router: RequestRouter,
    private val backends: Backends,
    private val records: CallRecorder,
    private val clock: TimeSource.WithComparableMarks,
    private val metrics: NodeMetrics,
    private val drain: Drain,
    private val scope: CoroutineScope,
    private val settings: () -> SettingsState,
    private val usable: (InstanceId) -> Boolean,
    private val members: () -> Collection<Member>,
    private val onFailure: (InstanceId, HopFailure) -> Unit,
    private val ready: () -> Boolean
) {
    private val acquirer = DispatchAcquirer(router, usable)
    private val retrier = AttemptRetrier(router, metrics, onFailure)
    private val completions =
        CompletionHandler(completionExecutor(), settings, clock, metrics, scope)
    private val services = ServiceHandler(serviceExecutor(), settings, clock, metrics)
    private val entries = EntriesHandler(members, settings, config.keepSeconds)

    fun register(routes: RoutesConfig) = with(routes) {
        get("/v1/entries", entries::handle)
        post("/v1/chat/completions") { handleIfAccepting(it, completions::handle) }
        val service = "/services/{service}/<path>"
        get(service) { handleIfAccepting(it, services::handle) }
        post(service) { handleIfAccepting(it, services::handle) }
        put(service) { handleIfAccepting(it, services::handle) }
        patch(service) { handleIfAccepting(it, services::handle) }
        delete(service) { handleIfAccepting(it, services::handle) }
        get("/metrics") { it.contentType(METRICS_TYPE).result(metrics.toPrometheusText()) }
        get("/health") { it.result("ok") }
        get("/ready") { it.status(if (ready()) STATUS_OK else STATUS_UNAVAILABLE) }
    }

    /** Runs [handler], or refuses the request if the drain no longer accepts new ones. */
    private fun handleIfAccepting(ctx: Context, handler: (Context) -> Unit) {
        if (!drain.accepting) {
            val failure =
                Failure(ErrorKind.LEAVING, "this node is shutting down; use another entry")
            metrics.recordOutcome(failure.kind)
            throw FailureException(failure)
        }
        handler(ctx)
    }

    private fun completionExecutor() = CompletionExecutor(
        acquirer = acquirer,
        retrier = retrier,
        runner = backends.runner(config.chainMode),
        clock = clock,
        metrics = metrics,
        onPriority = ::setPriority
    )

    private fun serviceExecutor() = ServiceExecutor(
        acquirer = acquirer,
        retrier = retrier,
        client = backends.services,
        records = records,
        clock = clock,
        metrics = metrics
    )

    private fun setPriority(work: ChainWork, priority: Int) {
        scope.launch {
            work.hops.forEach { hop ->
                backends.control.setPriority(hop.address, work.request, work.attempt, priority)
            }
        }
    }

    private companion object {
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
