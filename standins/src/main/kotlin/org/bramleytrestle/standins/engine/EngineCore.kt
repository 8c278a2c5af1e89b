package org.bramleytrestle.standins.engine

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.LoadReport
import org.bramleytrestle.model.ModelName

/** Request state and computation of one engine, independent of its HTTP connections. */
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
    private val history = ExecutionHistory(config.layers.until)
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

    /** Executes one step, and calls [onExecuted] unless the step is refused. */
    suspend fun step(request: StepRequest, onExecuted: () -> Unit): StepResult {
        val ids = if (request.layers.from == 0) tokenIds(request) else null
        val inputs = ids?.mapIndexed { index, id ->
            ReferenceModel.embed(id, request.firstPosition + index)
        } ?: request.inputs.orEmpty()
        validationError(request, inputs)?.let { return StepResult.Refused(BAD_REQUEST, it) }
        val state = synchronized(lock) {
            val admitted = admit(request)
            admitted.state ?: return StepResult.Refused(admitted.status, admitted.error)
        }
        val cached = if (request.firstPosition > 0) {
            0
        } else {
            cache.lookupAndStore(PrefixCache.hashes(inputs))
        }
        try {
            scheduler.run(stepMicros(request, inputs.size, cached), state.priority)
            return compute(request, state, inputs, onExecuted)
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

    /** Returns whether the attempt has state on this engine. */
    fun setPriority(request: String, attempt: Int, value: Int): Boolean = synchronized(lock) {
        val found = states.values.filter { it.key.request == request && it.key.attempt == attempt }
        found.forEach { it.priority.set(value) }
        found.isNotEmpty()
    }

    fun evictIdle() {
        val cutoffMillis = nowMillis() - config.idleMillis
        synchronized(lock) {
            states.values.removeIf { !it.busy && it.lastUsedMillis < cutoffMillis }
        }
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

    /** Returns whether the state was imported. */
    fun importKv(message: KvMessage): Boolean = synchronized(lock) {
        val compatible = message.model == model && message.version == version &&
            message.ranges.all {
                it.layers.from >= config.layers.from && holdsUntil(it.layers.until)
            }
        if (!compatible || history.isSuperseded(message.request, message.attempt)) return false
        for (range in message.ranges) {
            val key = StateKey(message.request, message.attempt, range.layers)
            val state = RequestState(key, range.values.toLongArray(), AtomicInteger())
            state.positions = range.positions
            state.lastUsedMillis = nowMillis()
            states[key] = state
            history.stateImported(message.request, message.attempt, range.layers, range.positions)
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
            violations = history.violations,
            orders = orders,
            staleOrders = staleOrders
        )
    }

    private class Admission(val state: RequestState?, val status: Int = 0, val error: String = "")

    private fun admit(request: StepRequest): Admission {
        val key = StateKey(request.request, request.attempt, request.layers)
        val existing = states[key]
        val obsolete = request.request to request.attempt in cancelled ||
            history.isSuperseded(request.request, request.attempt)
        val inOrder = if (existing == null) {
            request.firstPosition == 0 &&
                !history.hasExecuted(request.request, request.attempt, request.layers)
        } else {
            !existing.busy && existing.positions == request.firstPosition
        }
        if (obsolete || !inOrder) {
            refused.incrementAndGet()
            return Admission(null, CONFLICT, "kvMismatch")
        }
        if (existing == null && leaving && states.keys.none { it.belongsTo(request) }) {
            return Admission(null, SERVICE_UNAVAILABLE, "leaving")
        }
        if (existing == null && states.size >= config.maxRequests) {
            return Admission(null, TOO_MANY_REQUESTS, "full")
        }
        val state = existing ?: RequestState(
            key,
            LongArray(request.layers.size) {
                ReferenceModel.initialState(model, version, request.layers.from + it)
            },
            AtomicInteger(request.priority)
        ).also { states[key] = it }
        history.attemptStarted(request.request, request.attempt)
        state.busy = true
        state.lastUsedMillis = nowMillis()
        return Admission(state)
    }

    private fun compute(
        request: StepRequest,
        state: RequestState,
        inputs: List<Long>,
        onExecuted: () -> Unit
    ): StepResult {
        val outputs = LongArray(inputs.size)
        synchronized(lock) {
            val removed = states[state.key] !== state
            if (removed || history.isSuperseded(request.request, request.attempt)) {
                refused.incrementAndGet()
                return StepResult.Refused(CONFLICT, "kvMismatch")
            }
            val first = request.firstPosition
            history.record(request.request, request.attempt, request.layers, first, inputs.size)
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
        onExecuted()
        val response = StepResponse(
            request.request,
            request.attempt,
            request.firstPosition,
            request.layers,
            outputs.toList(),
            token
        )
        return StepResult.Executed(response)
    }

    private fun validationError(request: StepRequest, inputs: List<Long>): String? = when {
        request.model != model || request.version != version -> "wrongModel"
        request.layers.from < config.layers.from || !holdsUntil(request.layers.until) ->
            "wrongLayers"
        inputs.isEmpty() -> "noInputs"
        else -> null
    }

    private fun holdsUntil(until: Int) = until <= config.layers.until

    private fun tokenIds(request: StepRequest): List<Int> {
        val prompt = request.prompt?.takeIf { request.firstPosition == 0 }
        return prompt?.let(ReferenceModel::tokenize).orEmpty() + request.emitted.orEmpty()
    }

    private fun stepMicros(request: StepRequest, positions: Int, cached: Int): Long {
        val uncached = (positions - 1 - cached).coerceAtLeast(0)
        val micros = request.layers.size * config.microsPerLayer * faults().slowFactor
        return (micros * (1 + uncached * PREFILL_COST_RATIO)).toLong()
    }

    private fun StateKey.belongsTo(other: StepRequest) =
        request == other.request && attempt == other.attempt

    private companion object {
        /** Cost of a prefill position in decode steps; prefill positions run in parallel. */
        const val PREFILL_COST_RATIO = 0.02
        const val MAX_CANCELLED = 8192
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
    }
}
