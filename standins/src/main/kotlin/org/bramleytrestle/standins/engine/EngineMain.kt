package org.bramleytrestle.standins.engine

import java.io.File
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.standins.WireJson

private const val EXIT_SIGKILL = 137

/**
 * Starts one engine configured by options, or several in one process from `--config`, a JSON list
 * of [EngineConfig]. Prints one line with the id and address of each engine.
 */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-engine")
    val defaults = EngineConfig("engine", layers = LayerRange(0, 1))
    val config by parser.option(ArgType.String, "config", description = "JSON list of engines")
    val port by parser.option(ArgType.Int, "port").default(0)
    val id by parser.option(ArgType.String, "id").default("engine")
    val model by parser.option(ArgType.String, "model").default(defaults.model)
    val version by parser.option(ArgType.String, "version").default(defaults.version)
    val layers by parser.option(ArgType.String, "layers", description = "A-B, B exclusive")
        .default("0-${defaults.modelLayers}")
    val modelLayers by parser.option(ArgType.Int, "model-layers").default(defaults.modelLayers)
    val accelerator by parser.option(ArgType.String, "accelerator").default(defaults.accelerator)
    val dataCentre by parser.option(ArgType.String, "data-centre").default(defaults.dataCentre)
    val micros by parser.option(ArgType.Int, "micros-per-layer")
        .default(defaults.microsPerLayer.toInt())
    val slots by parser.option(ArgType.Int, "slots").default(defaults.slots)
    val checksFencing by parser.option(ArgType.Boolean, "checks-fencing").default(true)
    val reportLag by parser.option(ArgType.Int, "report-lag-millis")
        .default(defaults.reportLagMillis.toInt())
    val seed by parser.option(ArgType.Int, "seed").default(1)
    parser.parse(args)

    val configs = config?.let { WireJson.decodeFromString<List<EngineConfig>>(File(it).readText()) }
        ?: listOf(
            EngineConfig(
                id = id,
                port = port,
                model = model,
                version = version,
                layers = parseLayers(layers),
                modelLayers = modelLayers,
                accelerator = accelerator,
                dataCentre = dataCentre,
                microsPerLayer = micros.toLong(),
                slots = slots,
                checksFencing = checksFencing,
                reportLagMillis = reportLag.toLong(),
                seed = seed.toLong()
            )
        )
    val onCrash: (EngineServer) -> Unit =
        if (configs.size == 1) ({ Runtime.getRuntime().halt(EXIT_SIGKILL) }) else EngineServer::kill
    configs.map { EngineServer(it, onCrash) }.forEach { println("${it.id} ${it.address}") }
    Thread.currentThread().join()
}

private fun parseLayers(text: String): LayerRange {
    val parts = text.split('-').mapNotNull { it.toIntOrNull() }
    require(parts.size == 2) { "--layers $text: expected A-B" }
    return LayerRange(parts[0], parts[1])
}
