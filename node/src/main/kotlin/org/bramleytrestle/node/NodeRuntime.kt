package org.bramleytrestle.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.bramleytrestle.backend.Backends
import org.bramleytrestle.backend.HopFailure
import org.bramleytrestle.cluster.Cluster
import org.bramleytrestle.cluster.ClusterSettings
import org.bramleytrestle.cluster.Clusters
import org.bramleytrestle.cluster.watchers
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.Invariants
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.Rendezvous
import org.bramleytrestle.model.keepRunning
import org.bramleytrestle.node.config.NodeConfig
import org.bramleytrestle.node.config.RoutingMode
import org.bramleytrestle.node.drain.Drain
import org.bramleytrestle.node.drain.DrainPhase
import org.bramleytrestle.node.http.AdminHandlers
import org.bramleytrestle.node.http.CallerRoutes
import org.bramleytrestle.node.http.HttpListener
import org.bramleytrestle.node.http.MemberStatus
import org.bramleytrestle.node.http.NodeStatus
import org.bramleytrestle.node.http.OperatorAuth
import org.bramleytrestle.node.http.ServerStatus
import org.bramleytrestle.node.limits.LimitExchange
import org.bramleytrestle.node.metrics.NodeMetrics
import org.bramleytrestle.node.request.PlatformCallRecorder
import org.bramleytrestle.node.servers.PollAssignment
import org.bramleytrestle.node.servers.ReportPoller
import org.bramleytrestle.node.servers.ServerRegistry
import org.bramleytrestle.node.servers.SnapshotPublisher
import org.bramleytrestle.node.settings.ChangeWriter
import org.bramleytrestle.node.settings.SettingsFollower
import org.bramleytrestle.node.settings.SettingsHolder
import org.bramleytrestle.routing.ChainPlanner
import org.bramleytrestle.routing.DefaultChainPlanner
import org.bramleytrestle.routing.DefaultRequestRouter
import org.bramleytrestle.routing.FifoRequestRouter
import org.bramleytrestle.routing.GrantAllocator
import org.bramleytrestle.routing.OrganisationLimiter
import org.bramleytrestle.routing.RequestRouter
import org.bramleytrestle.routing.RoundRobinPlanner
import org.bramleytrestle.routing.RoutingSnapshot
import org.bramleytrestle.routing.ServerSubset
import org.bramleytrestle.settings.Change
import org.bramleytrestle.store.BudgetedObjectStore
import org.bramleytrestle.store.CallRecords
import org.bramleytrestle.store.ChangeLog
import org.bramleytrestle.store.HttpObjectStore
import org.bramleytrestle.store.InstanceList
import org.bramleytrestle.store.PlatformCallBudget

private val log = KotlinLogging.logger {}

/**
 * Wires the components of one node: its listeners, request execution and the communication with the
 * platform and its peers.
 *
 * @param random source of randomness for all random decisions of this node.
 */
internal class NodeRuntime(
    private val config: NodeConfig,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default
) {
    private val id = InstanceId(config.instance)
    private val dataCentre = DataCentre(config.dataCentre)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = NodeMetrics()
    private val store = BudgetedObjectStore(
        store = HttpObjectStore(config.platform),
        budget = PlatformCallBudget(ratePerSecond = { PLATFORM_CALLS_PER_SECOND / members().size })
    )
    private val callRecords = CallRecords(store)
    private val changeLog = ChangeLog(store)
    private val instances = InstanceList(store)
    private val registry = ServerRegistry(clock)
    private val pollAssignment = PollAssignment(id, dataCentre)
    private val holder = SettingsHolder(::onSettingsApplied)
    private val backends = Backends.http()
    private val planner: ChainPlanner = when (config.routing) {
        RoutingMode.STANDARD -> DefaultChainPlanner(
            subset = ServerSubset(id, config.serverSubset),
            random = random
        )
        RoutingMode.BASELINE -> RoundRobinPlanner()
    }
    private val limiter = OrganisationLimiter(id, clock, ::rankedHomeNodes)
    private val allocator = GrantAllocator(id, clock, ::rankedHomeNodes)
    private val router: RequestRouter = router(random)
    private val limits = LimitExchange(
        self = id,
        limiter = limiter,
        allocator = allocator,
        cluster = { cluster },
        settings = { holder.state },
        onGrant = router::onSnapshot
    )
    private val publisher = SnapshotPublisher(
        planner = planner,
        registry = registry,
        settings = { holder.state },
        base = RoutingSnapshot(
            settings = holder.state,
            servers = emptyMap(),
            reports = emptyMap(),
            linkMicros = config.linkMicros,
            dataCentre = config.dataCentre
        ),
        onPublished = router::onSnapshot
    )
    private val cluster: Cluster = Clusters.tcp(
        settings = ClusterSettings(
            id = id,
            dataCentre = dataCentre,
            listenAddress = "${config.peers.host}:${config.peers.port}",
            callerAddress = "http://${config.callers.host}:${config.callers.port}",
            secret = config.clusterSecret.toByteArray(),
            seeds = config.seeds
        ),
        listener = PeerListener(
            holder = holder,
            registry = registry,
            handleDemand = limits::onDemand,
            handleGrants = { _, grants -> limits.onGrants(grants) },
            onServerLeaving = { publisher.requestRebuild() }
        ),
        scope = scope,
        random = random
    )
    private val drain = Drain(config.keepSeconds.seconds + ENTRIES_CACHE_MARGIN) { cluster.leave() }
    private val routes = CallerRoutes(
        config = config,
        router = router,
        backends = backends,
        records = PlatformCallRecorder(callRecords),
        clock = clock,
        metrics = metrics,
        drain = drain,
        scope = scope,
        settings = { holder.state },
        usable = registry::isUsable,
        members = ::members,
        onFailure = ::onServerFailure,
        ready = ::ready
    )
    private val callerListener =
        HttpListener(config.callers, config.maxBodyBytes, drain::trackInFlight) {
            routes.register(this)
        }
    private val operatorListener =
        HttpListener(config.operators, MAX_OPERATOR_BODY_BYTES) { adminHandlers().register(this) }

    private fun router(random: Random): RequestRouter = when (config.routing) {
        RoutingMode.STANDARD -> DefaultRequestRouter(
            planner = planner,
            clock = clock,
            random = random,
            limiter = limiter,
            scope = scope,
            maxQueued = config.queueLimit
        )
        RoutingMode.BASELINE -> FifoRequestRouter(planner, clock)
    }

    suspend fun start() {
        Invariants.onViolation { name, detail ->
            metrics.recordViolation(name)
            log.error { "node: invariant $name violated: $detail" }
        }
        registerGauges()
        cluster.start()
        val poller = ReportPoller(
            control = backends.control,
            registry = registry,
            ranks = { pollAssignment.ranks(members(), it) },
            share = cluster::shareReports
        )
        keep("instances") { instances.run() }
        keep("instances") { instances.instances.collect(::onInstanceList) }
        keep("settings") { SettingsFollower(holder, changeLog, ::isWatcher).run() }
        keep("routing") { publisher.run() }
        keep("call records") { callRecords.run() }
        keep("limits") { limits.run() }
        keep("reports") { poller.run(scope) }
        operatorListener.start()
        callerListener.start()
    }

    private fun keep(task: String, run: suspend () -> Unit) {
        scope.launch { keepRunning(task, RESTART_PAUSE, run) }
    }

    /**
     * Drains this node and stops it. Returns when no request is in flight and the peers have been
     * notified.
     */
    suspend fun drainAndStop() {
        drain.run()
        callerListener.stop()
        operatorListener.stop()
        cluster.stop()
        scope.cancel()
    }

    private fun onSettingsApplied(changes: List<Change>) {
        if (changes.isNotEmpty()) cluster.pushChanges(changes)
        publisher.requestRebuild()
    }

    private fun onInstanceList(list: List<Instance>) {
        registry.replaceList(list)
        cluster.addSeeds(
            list.filter { it.role == InstanceRole.ENTRY && it.id != id }
                .mapNotNull { it.peerAddress }
        )
        publisher.requestRebuild()
    }

    private fun members() = cluster.members.value.values

    private fun isWatcher(): Boolean = id in watchers(members(), dataCentre)

    private fun rankedHomeNodes(
        organisation: OrganisationId,
        nodes: List<InstanceId>
    ): List<InstanceId> = Rendezvous.top(organisation.value, nodes, nodes.size) { it.value }

    private fun onServerFailure(instance: InstanceId, failure: HopFailure) {
        registry.recordFailure(instance, failure)
        publisher.requestRebuild()
    }

    /** Ready once the platform's instance list or settings have arrived, until a drain starts. */
    private fun ready(): Boolean = drain.phase == DrainPhase.RUNNING &&
        (instances.instances.value.isNotEmpty() || holder.state.revision > 0)

    private fun adminHandlers() = AdminHandlers(
        auth = OperatorAuth(config.operatorTokens),
        holder = holder,
        writer = ChangeWriter(holder, changeLog, scope),
        status = ::status,
        readChanges = { after, limit -> changeLog.readAfter(after, limit) },
        startDrain = ::startDrain
    )

    private fun startDrain(instance: InstanceId): Boolean {
        if (instance == id) {
            scope.launch { drainAndStop() }
            return true
        }
        if (registry.backendServers().none { it.id == instance }) return false
        registry.markLeaving(instance)
        publisher.requestRebuild()
        return true
    }

    private fun status(): NodeStatus {
        val usable = registry.usableServers()
        val reports = registry.reports()
        return NodeStatus(
            instance = config.instance,
            revision = holder.state.revision,
            phase = drain.phase.name,
            requestsInFlight = drain.inFlight,
            invariantViolations = metrics.totalViolations().toLong(),
            members = members().sortedBy { it.id.value }.map {
                val revision = if (it.id == id) holder.state.revision else it.appliedRevision
                MemberStatus(it.id.value, it.dataCentre.value, it.state.name, revision)
            },
            servers = registry.backendServers().sortedBy { it.id.value }.map {
                val report = reports[it.id]
                ServerStatus(
                    it.id.value,
                    it.pool,
                    it.id in usable,
                    report?.running,
                    report?.waiting
                )
            }
        )
    }

    private fun registerGauges() {
        metrics.registerGauge("bramleytrestle_settings_revision", "Settings revision in force.") {
            holder.state.revision.toDouble()
        }
        metrics.registerGauge("bramleytrestle_members", "Nodes known to this node.") {
            members().size.toDouble()
        }
        metrics.registerGauge(
            "bramleytrestle_servers_usable",
            "Backend servers that may get work."
        ) {
            registry.usableServers().size.toDouble()
        }
        metrics.registerGauge("bramleytrestle_requests_in_flight", "Requests in this node now.") {
            drain.inFlight.toDouble()
        }
    }

    private companion object {
        /** Covers clock differences and the time until an entries response reaches the caller. */
        val ENTRIES_CACHE_MARGIN = 5.seconds

        // Share of the platform's limit of 2,000 reads per second that all nodes together may use.
        const val PLATFORM_CALLS_PER_SECOND = 1_500.0
        const val MAX_OPERATOR_BODY_BYTES = 2_000_000L

        /** Pause before a task that failed unexpectedly starts anew. */
        val RESTART_PAUSE = 1.seconds
    }
}
