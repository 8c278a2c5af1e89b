package org.bramleytrestle.routing

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.OrganisationId
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.ServiceName
import org.bramleytrestle.model.Side
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.settings.SettingsState

internal const val MODEL = "drafter"

/** A request of a simulated load that arrives [at] a time and generates [tokens] tokens. */
internal data class Arrival(
    val at: Duration,
    val tokens: Int,
    val organisation: String = "lab",
    val maxTokens: Int = tokens,
    val deadline: Duration = 1000.milliseconds,
    val model: String = MODEL,
    val side: Side? = null
)

/** The result of an [arrival]; [failure] is null if it was dispatched. */
internal data class RequestResult(
    val arrival: Arrival,
    val wait: Duration,
    val duration: Duration,
    val failure: ErrorKind?
) {
    val metDeadline: Boolean get() = failure == null && duration <= arrival.deadline
}

/** A planner that chooses from fixed chains of servers, each of which takes [step] per token. */
internal class FakePlanner(
    private val chains: Map<String, List<List<String>>>,
    slots: Int,
    settings: String = "{}",
    val step: Duration = 10.milliseconds,
    private val roundRobin: Boolean = false
) : ChainPlanner {
    private var nextChain = 0

    override var snapshot = RoutingSnapshot(
        settings = settings(settings),
        servers = emptyMap(),
        reports = chains.values.flatten().flatten()
            .associate { InstanceId(it) to LoadReport(InstanceId(it), slots = slots) }
    )
        private set

    override fun publish(next: RoutingSnapshot) {
        snapshot = next
    }

    override fun choose(query: ChainQuery): ChainPlan? {
        val available = candidates(query).filter { chain -> chain.all { query.hasCapacity(it) } }
        if (available.isEmpty()) return null
        val chain = if (roundRobin) {
            available[nextChain++ % available.size]
        } else {
            available.minBy { chain -> chain.maxOf { query.inFlight(it) } }
        }
        val hops = chain.mapIndexed { layer, id ->
            StageHop(id, "", LayerRange(layer, layer + 1))
        }
        return ChainPlan(hops, step.inWholeMicroseconds, step.inWholeMicroseconds)
    }

    override fun hasChain(query: ChainQuery): Boolean = candidates(query).isNotEmpty()

    /** Servers whose names start with `old-` serve the old side only; all others serve both. */
    private fun candidates(query: ChainQuery) = chains[query.model?.value ?: query.service.value]
        .orEmpty()
        .map { chain -> chain.map(::InstanceId) }
        .filter { chain -> chain.none { it in query.excluded } }
        .filter { chain -> query.side == Side.OLD || chain.none { it.value.startsWith("old-") } }
}

internal fun settings(json: String): SettingsState =
    SettingsState.of(1, Json.parseToJsonElement(json).jsonObject).get()!!

internal fun servers(count: Int): Map<String, List<List<String>>> =
    mapOf(MODEL to List(count) { listOf("s$it") })

internal fun work(
    clock: TimeSource.WithComparableMarks,
    arrival: Arrival,
    request: String = "r"
): Work = Work(
    request = RequestId(request),
    organisation = OrganisationId(arrival.organisation),
    service = ServiceName(arrival.model),
    model = ModelName(arrival.model),
    maxTokens = arrival.maxTokens,
    deadline = clock.markNow() + arrival.deadline,
    sideKey = request,
    side = arrival.side ?: Side.OLD
)

@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.router(
    planner: ChainPlanner,
    limiter: OrganisationLimiter? = null
): DefaultRequestRouter = DefaultRequestRouter(
    planner = planner,
    clock = testTimeSource,
    random = Random(1),
    limiter = limiter,
    scope = backgroundScope
)

/** Sends [load] to [router] in virtual time and waits for all results. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.simulate(
    router: RequestRouter,
    planner: FakePlanner,
    load: List<Arrival>
): List<RequestResult> {
    val results = ArrayList<RequestResult>()
    load.forEachIndexed { index, arrival ->
        launch {
            delay(arrival.at)
            val start = testTimeSource.markNow()
            val result = router.acquire(work(testTimeSource, arrival, "r$index"))
            val wait = start.elapsedNow()
            val failure = result.fold({ null }, { it.kind })
            result.get()?.let { run(it, arrival.tokens, planner.step) }
            results += RequestResult(arrival, wait, start.elapsedNow(), failure)
        }
    }
    testScheduler.advanceUntilIdle()
    return results
}

internal suspend fun run(dispatch: Dispatch, tokens: Int, step: Duration) {
    repeat(tokens) {
        delay(step)
        dispatch.recordTokens(1)
    }
    dispatch.finish(AttemptOutcome.Completed)
}

/** Poisson arrivals at a rate of [perSecond] during [seconds], created by [createArrival]. */
internal fun poissonArrivals(
    random: Random,
    perSecond: Double,
    seconds: Int,
    createArrival: (Duration) -> Arrival
): List<Arrival> = generateSequence(0.0) { it - Math.log(1 - random.nextDouble()) / perSecond }
    .drop(1).takeWhile { it < seconds }.map { createArrival((it * 1000).milliseconds) }.toList()

internal fun List<Duration>.p99(): Duration = sorted()[(size * 99) / 100]
