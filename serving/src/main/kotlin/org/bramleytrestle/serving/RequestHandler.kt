package org.bramleytrestle.serving

import kotlin.time.Duration
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.StableHash

/** Routes and authenticates a request, then executes or refuses it. */
public class RequestHandler(
    private val configs: ConfigHolder,
    private val bounds: ServingBounds,
    private val lifecycle: NodeLifecycle,
    private val plain: PlainExecutor,
    private val streams: StreamExecutor,
    private val quarantine: RequestQuarantine,
    private val onEnd: (RequestTrace, RequestOutcome, Duration) -> Unit,
    private val now: () -> Moment = Moment::now
) {
    private class Refusal(val kind: ErrorKind, val detail: String)

    public fun handle(request: CallerRequest, reply: CallerReply) {
        val config = configs.config
        val age = configs.confirmationAge()
        val trace = RequestTrace(request.id, config?.version, age, request.prompt)
        val outcome = try {
            if (config == null || age == null) {
                refuse(
                    request,
                    reply,
                    Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "settings not loaded yet")
                )
            } else {
                route(request, reply, config, age, trace)
            }
        } catch (e: CallerReply.CallerDisconnectedException) {
            RequestOutcome.failed(null, "caller disconnected: ${e.message}")
        }
        onEnd(trace, outcome, now().since(request.receivedAt))
    }

    private fun route(
        request: CallerRequest,
        reply: CallerReply,
        config: RoutingConfig,
        age: Duration,
        trace: RequestTrace
    ): RequestOutcome {
        val stale = age > bounds.maxConfirmationAge
        val outdated = age > bounds.maxDenialAge
        val route = config.route(request.host, request.path)
        trace.route = route?.name
        val organisation = request.key?.let(config::organisationOf)
        trace.organisation = organisation?.name
        val keyRequired = route != null && config.keysRequired && !route.publicAccess
        val unknown = route == null || keyRequired && organisation == null
        val refusal = when {
            stale && keyRequired || outdated && unknown ->
                Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "settings unconfirmed for $age")
            route == null -> Refusal(ErrorKind.NOT_FOUND, "no route for the path")
            unknown -> Refusal(ErrorKind.UNAUTHENTICATED, "unknown key")
            lifecycle.refuses(timeout(route, request) - now().since(request.receivedAt)) ->
                Refusal(ErrorKind.LEAVING, "the node is shutting down")
            request.prompt != null && !quarantine.isLoaded ->
                Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "crash evidence not loaded yet")
            request.body.size > config.limits.bodyBytes ->
                Refusal(ErrorKind.BODY_TOO_LARGE, "the body is too large")
            else -> null
        }
        if (refusal != null || route == null) {
            return refuse(request, reply, refusal ?: error("unrouted request not refused"))
        }
        val service = pickService(route, request.id)?.let(config.services::get)
            ?: return refuse(request, reply, Refusal(ErrorKind.NO_ROUTE, "service not configured"))
        val timeout = timeout(route, request)
        val urgency = organisation?.priority ?: route.priority
        val task = RequestTask(
            request,
            reply,
            route,
            service,
            organisation,
            timeout,
            trace,
            config.level(service.name, urgency)
        )
        return if (service.model != null && service.model.layers > 0) {
            streams.run(task)
        } else {
            plain.run(task)
        }
    }

    /** Time from the arrival of the request to its end. */
    private fun timeout(route: Route, request: CallerRequest) =
        minOf(route.timeout, request.timeout ?: route.timeout)

    /** Picks a service by weight; stable for a request id. Null if the route names no service. */
    private fun pickService(route: Route, id: String): String? {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return route.shares.firstOrNull()?.service
        var point = Math.floorMod(StableHash.of(id), total.toLong())
        for (share in route.shares) {
            point -= share.weight
            if (point < 0) return share.service
        }
        error("no service picked for route ${route.name}: total weight is $total")
    }

    private fun refuse(request: CallerRequest, reply: CallerReply, refusal: Refusal) =
        refuseTask(request, reply, refusal.kind, refusal.detail, now())
}
