package org.bramleytrestle.standins.engine

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/** What one engine holds and computes, without its connections. */
internal class EngineCore(
    private val config: EngineConfig,
    private val faults: () -> EngineFaults,
    private val nowMillis: () -> Long = System::currentTimeMillis
) {
    private val lock = Any()
    private val states = HashMap<StateKey, RequestState>()
    private val cancelled = object : LinkedHashSet<Pair<String, Int>>() {
        override fun add(element: Pair<String, Int>): Boolean {
            if (size >= MAX_CANCELLED) remove(first())
            return super.add(element)
        }
    }
    private val ledger = SafetyLedger(config.layers.until)
    private val scheduler = StepScheduler(config.slots)
    private val cache = PrefixCache(
        config.cacheBlocks,
        config.cacheEventDelayMillis,
        config.cacheEventLossProbability,
        config.seed,
        nowMillis
    )
    private val steps = AtomicLong()
    private val tokens = AtomicLong()
    private val refused = AtomicLong()
    private val cancels = AtomicLong()
    private val reports = AtomicLong()

    @Volatile
    var model: String = config.model

    @Volatile
    var version: String = config.version

    @Volatile
    var leaving: Boolean = false

    /** Runs one step; [onRan] is called for each step that ran. */
    suspend fun step(request: StepRequest, onRan: () -> Unit): StepResult {
        val ids = if (request.layers.from == 0) ids(request) else null
        val inputs = ids?.mapIndexed { index, id ->
            ReferenceModel.embed(id, request.firstPosition + index)
        } ?: request.inputs.orEmpty()
        invalid(request, inputs)?.let { return StepResult.Refused(BAD_REQUEST, it) }
        val state = synchronized(lock) {
            val admitted = admit(request)
            admitted.state ?: return StepResult.Refused(admitted.status, admitted.error)
        }
        val cached = if (request.firstPosition > 0) 0 else cache.use(PrefixCache.hashes(inputs))
        try {
            scheduler.run(stepMicros(request, inputs.size, cached), state.priority)
            return compute(request, state, inputs, onRan)
        } finally {
            synchronized(lock) { state.busy = false }
        }
    }

    fun cancel(request: String, attempt: Int) {
        synchronized(lock) {
            if (cancelled.add(request to attempt)) cancels.incrementAndGet()
            states.keys.removeIf { it.request == request && it.attempt == attempt }
        }
    }

    /** Whether any state of the request was found. */
    fun setPriority(request: String, attempt: Int, value: Int): Boolean = synchronized(lock) {
        val found = states.values.filter { it.key.request == request && it.key.attempt == attempt }
        found.forEach { it.priority.set(value) }
        found.isNotEmpty()
    }

    fun dropIdle() {
        val oldest = nowMillis() - config.idleMillis
        synchronized(lock) { states.values.removeIf { !it.busy && it.lastUsedMillis < oldest } }
    }

    fun clear(): Unit = synchronized(lock) { states.clear() }

    fun refusesNewRequests(): Boolean = leaving

    fun isFull(): Boolean = synchronized(lock) { states.size >= config.maxRequests }

    fun cacheEventsAfter(after: Long): List<CacheEventMessage> = cache.eventsAfter(after)

    fun exportKv(request: String, attempt: Int): KvMessage? = synchronized(lock) {
        val found = states.values.filter { it.key.request == request && it.key.attempt == attempt }
        if (found.isEmpty()) return null
        val ranges = found.map { KvRange(it.key.layers, it.positions, it.values.toList()) }
        KvMessage(request, attempt, model, version, ranges)
    }

    /** Whether the state was taken over. */
    fun importKv(message: KvMessage): Boolean = synchronized(lock) {
        val fits = message.model == model && message.version == version &&
            message.ranges.all { it.layers.from >= config.layers.from && holds(it.layers.until) }
        if (!fits || ledger.superseded(message.request, message.attempt)) return false
        for (range in message.ranges) {
            val key = StateKey(message.request, message.attempt, range.layers)
            val state = RequestState(key, range.values.toLongArray(), AtomicInteger())
            state.positions = range.positions
            state.lastUsedMillis = nowMillis()
            states[key] = state
            ledger.imported(message.request, message.attempt, range.layers, range.positions)
        }
        true
    }

    fun report(): LoadReport = LoadReport(
        instance = InstanceId(config.id),
        model = ModelName(model),
        version = version,
        layers = config.layers,
        accelerator = config.accelerator,
        running = scheduler.running,
        waiting = scheduler.waiting,
        slots = config.slots,
        microsPerLayer = (config.microsPerLayer * faults().slowFactor).toLong(),
        queueMicros = scheduler.queueMicros,
        leaving = leaving,
        takenAtMillis = nowMillis(),
        sequence = reports.incrementAndGet()
    )

    fun counts(streams: Int, orders: Long, staleOrders: Long): EngineCounts = synchronized(lock) {
        EngineCounts(
            steps = steps.get(),
            tokens = tokens.get(),
            activeRequests = states.keys.distinctBy { it.request to it.attempt }.size,
            streams = streams,
            refusedSteps = refused.get(),
            cancelled = cancels.get(),
            violations = ledger.violations,
            orders = orders,
            staleOrders = staleOrders
        )
    }

    private class Admission(val state: RequestState?, val status: Int = 0, val error: String = "")

    private fun admit(request: StepRequest): Admission {
        val key = StateKey(request.request, request.attempt, request.layers)
        val known = states[key]
        val dead = request.request to request.attempt in cancelled ||
            ledger.superseded(request.request, request.attempt)
        val fits = if (known == null) {
            request.firstPosition == 0 &&
                !ledger.ran(request.request, request.attempt, request.layers)
        } else {
            !known.busy && known.positions == request.firstPosition
        }
        if (dead || !fits) {
            refused.incrementAndGet()
            return Admission(null, CONFLICT, "kvMismatch")
        }
        if (known == null && leaving && states.keys.none { it.isFor(request) }) {
            return Admission(null, UNAVAILABLE, "leaving")
        }
        if (known == null && states.size >= config.maxRequests) {
            return Admission(null, TOO_MANY, "full")
        }
        val state = known ?: RequestState(
            key,
            LongArray(request.layers.size) {
                ReferenceModel.initialState(model, version, request.layers.from + it)
            },
            AtomicInteger(request.priority)
        ).also { states[key] = it }
        ledger.started(request.request, request.attempt)
        state.busy = true
        state.lastUsedMillis = nowMillis()
        return Admission(state)
    }

    private fun compute(
        request: StepRequest,
        state: RequestState,
        inputs: List<Long>,
        onRan: () -> Unit
    ): StepResult {
        val outputs = LongArray(inputs.size)
        synchronized(lock) {
            val dropped = states[state.key] !== state
            if (dropped || ledger.superseded(request.request, request.attempt)) {
                refused.incrementAndGet()
                return StepResult.Refused(CONFLICT, "kvMismatch")
            }
            val first = request.firstPosition
            ledger.record(request.request, request.attempt, request.layers, first, inputs.size)
            inputs.forEachIndexed { index, input ->
                var value = input
                for (layer in state.values.indices) {
                    state.values[layer] = ReferenceModel.nextState(state.values[layer], value)
                    value = ReferenceModel.output(state.values[layer], value)
                }
                outputs[index] = value
            }
            state.positions += inputs.size
            state.lastUsedMillis = nowMillis()
        }
        steps.incrementAndGet()
        val last = request.layers.until == config.modelLayers
        val token = if (last) ReferenceModel.sample(outputs.last()) else null
        if (token != null) tokens.incrementAndGet()
        onRan()
        val answer = StepAnswer(
            request.request,
            request.attempt,
            request.firstPosition,
            request.layers,
            outputs.toList(),
            token
        )
        return StepResult.Ran(answer)
    }

    private fun invalid(request: StepRequest, inputs: List<Long>): String? = when {
        request.model != model || request.version != version -> "wrongModel"
        request.layers.from < config.layers.from || !holds(request.layers.until) -> "wrongLayers"
        inputs.isEmpty() -> "noInputs"
        else -> null
    }

    private fun holds(until: Int) = until <= config.layers.until

    private fun ids(request: StepRequest): List<Int> {
        val prompt = request.prompt?.takeIf { request.firstPosition == 0 }
        return prompt?.let(ReferenceModel::tokenize).orEmpty() + request.emitted.orEmpty()
    }

    private fun stepMicros(request: StepRequest, positions: Int, cached: Int): Long {
        val further = (positions - 1 - cached).coerceAtLeast(0)
        val micros = request.layers.size * config.microsPerLayer * faults().slowFactor
        return (micros * (1 + further * PREFILL_SHARE)).toLong()
    }

    private fun StateKey.isFor(other: StepRequest) =
        request == other.request && attempt == other.attempt

    private companion object {
        /** Cost of a prefill position in decode steps: prefill positions run in parallel. */
        const val PREFILL_SHARE = 0.02
        const val MAX_CANCELLED = 8192
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
    }
}
