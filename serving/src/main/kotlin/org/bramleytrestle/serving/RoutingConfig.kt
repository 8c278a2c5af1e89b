package org.bramleytrestle.serving

/**
 * One version of the operators' configuration, indexed for request routing.
 *
 * @property revision position in the store's order of changes; increases with every version.
 */
public class RoutingConfig(
    public val version: Long,
    public val revision: Long,
    routes: List<Route>,
    services: List<BackendService>,
    organisations: List<Organisation>,
    public val limits: CallerLimits = CallerLimits()
) {
    public val services: Map<String, BackendService> = services.associateBy { it.name }

    /** Whether callers need a key on routes without public access. */
    public val keysRequired: Boolean = organisations.isNotEmpty()

    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, matching) -> matching.sortedByDescending { it.pathPrefix.length } }
    private val organisationsByKey =
        organisations.flatMap { organisation -> organisation.keys.map { it to organisation } }
            .toMap()

    /** Urgencies of the streams of each service, most urgent first. */
    private val urgencies: Map<String, List<Int>> = routes
        .filter { it.kind == RequestKind.STREAM }
        .flatMap { route -> route.shares.map { it.service to route.priority } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, ofRoutes) ->
            (ofRoutes + organisations.mapNotNull { it.priority }).distinct().sorted()
        }

    /** Position of [urgency] among those of the streams of [service], 0 for the most urgent. */
    public fun level(service: String, urgency: Int): Int =
        urgencies[service].orEmpty().count { it < urgency }

    /** The route on [host] with the longest path prefix that matches [path]. */
    public fun route(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    public fun organisationOf(key: String): Organisation? = organisationsByKey[key]
}
