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

/** One request of a simulated load. [tokens] is what it really generates. */
internal data class Arrival(
    val at: Duration,
    val tokens: Int,
    val organisation: String = "lab",
    val maxTokens: Int = tokens,
    val deadline: Duration = 1000.milliseconds,
    val model: String = MODEL,
    val side: Side? = null
)

/** What became of an [arrival]; [failure] is null if it was dispatched. */
internal data class Served(
    val arrival: Arrival,
    val wait: Duration,
    val took: Duration,
    val failure: ErrorKind?
) {
    val good: Boolean get() = failure == null && took <= arrival.deadline
}

/** Planner over chains of named servers; every chain takes [step] for each token. */
internal class FakePlanner(
    private val chains: Map<String, List<List<String>>>,
    slots: Int,
    settings: String = "{}",
    val step: Duration = 10.milliseconds,
    private val inTurn: Boolean = false
) : ChainPlanner {
    private var turn = 0

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
        val open = candidates(query).filter { chain -> chain.all { query.hasRoom(it) } }
        if (open.isEmpty()) return null
        val chain = if (inTurn) {
            open[turn++ % open.size]
        } else {
            open.minBy { chain -> chain.maxOf { query.inFlight(it) } }
        }
        val hops = chain.mapIndexed { at, id -> StageHop(id, "", LayerRange(at, at + 1)) }
        return ChainPlan(hops, step.inWholeMicroseconds, step.inWholeMicroseconds)
    }

    override fun hasChain(query: ChainQuery): Boolean = candidates(query).isNotEmpty()

    /** Names with `old-` in front are servers of the old side; all others serve both sides. */
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

/** Sends [load] to [router] in virtual time and waits for every answer. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.simulate(
    router: RequestRouter,
    planner: FakePlanner,
    load: List<Arrival>
): List<Served> {
    val served = ArrayList<Served>()
    load.forEachIndexed { index, arrival ->
        launch {
            delay(arrival.at)
            val start = testTimeSource.markNow()
            val result = router.acquire(work(testTimeSource, arrival, "r$index"))
            val wait = start.elapsedNow()
            val failure = result.fold({ null }, { it.kind })
            result.get()?.let { run(it, arrival.tokens, planner.step) }
            served += Served(arrival, wait, start.elapsedNow(), failure)
        }
    }
    testScheduler.advanceUntilIdle()
    return served
}

internal suspend fun run(dispatch: Dispatch, tokens: Int, step: Duration) {
    repeat(tokens) {
        delay(step)
        dispatch.recordTokens(1)
    }
    dispatch.finish(AttemptOutcome.Completed)
}

/** Poisson arrivals of [perSecond] during [seconds], as [make] describes them. */
internal fun poisson(
    random: Random,
    perSecond: Double,
    seconds: Int,
    make: (Duration) -> Arrival
): List<Arrival> = generateSequence(0.0) { it - Math.log(1 - random.nextDouble()) / perSecond }
    .drop(1).takeWhile { it < seconds }.map { make((it * 1000).milliseconds) }.toList()

internal fun List<Duration>.p99(): Duration = sorted()[(size * 99) / 100]
