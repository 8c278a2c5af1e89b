package org.bramleytrestle.backend

import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ModelName
import org.bramleytrestle.model.RequestId
import org.bramleytrestle.model.StageHop
import org.bramleytrestle.standins.engine.EngineConfig
import org.bramleytrestle.standins.engine.EngineServer
import org.bramleytrestle.standins.engine.ReferenceModel
import org.bramleytrestle.standins.engine.Token

/** A chain of stand-in engines, each with an equal share of the model's layers. */
internal class EngineChain(
    hops: Int = 4,
    private val layersPerHop: Int = 2,
    private val configure: (EngineConfig) -> EngineConfig = { it }
) : AutoCloseable {
    private val layers = hops * layersPerHop
    val engines = (0..<hops).map { start("e${it + 1}", it) }
    val hops = engines.mapIndexed { index, engine -> hop(engine, index) }
    private val spares = mutableListOf<EngineServer>()

    /** Starts another engine with the layers of the hop at [index]. */
    fun spare(index: Int): StageHop = hop(start("spare$index", index).also { spares += it }, index)

    fun work(
        prompt: String = "one two three",
        emitted: List<Int> = emptyList(),
        maxTokens: Int = 20,
        attempt: Int = 1,
        request: String = "r1",
        priority: Int = 0
    ): ChainWork = ChainWork(
        request = RequestId(request),
        attempt = attempt,
        model = ModelName("drafter"),
        version = "1",
        hops = hops,
        prompt = prompt,
        emitted = emitted,
        maxTokens = maxTokens,
        priority = priority
    )

    fun expected(work: ChainWork): List<Token> =
        ReferenceModel.answer(work.prompt, work.model.value, work.version, layers, work.maxTokens)

    /** A prompt whose response has at least [tokens] tokens. */
    fun promptFor(tokens: Int): String = generateSequence(0) { it + 1 }
        .map { "prompt $it" }
        .first { expected(work(it, maxTokens = tokens)).size == tokens }

    override fun close() = (engines + spares).forEach { it.kill() }

    private fun start(id: String, index: Int): EngineServer {
        val config = EngineConfig(
            id = id,
            layers = range(index),
            modelLayers = layers,
            microsPerLayer = 100,
            reportLagMillis = 0,
            hopTimeoutMillis = 20_000
        )
        return EngineServer(configure(config))
    }

    private fun range(index: Int) = LayerRange(index * layersPerHop, (index + 1) * layersPerHop)

    private fun hop(engine: EngineServer, index: Int) =
        StageHop(engine.id, engine.address, range(index))
}
