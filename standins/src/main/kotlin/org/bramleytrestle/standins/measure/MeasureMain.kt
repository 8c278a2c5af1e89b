package org.bramleytrestle.standins.measure

import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json

/** Runs one measurement and prints its JSON report as the last line. */
public fun main(args: Array<String>) {
    val parser = ArgParser("measure")
    val name by parser.argument(
        ArgType.String,
        description = "throughput, recovery, crest, blocking"
    )
    val home by parser.option(ArgType.String, "home").default(".")
    val seed by parser.option(ArgType.Int, "seed").default(1)
    parser.parse(args)
    val root = Path.of(home).toAbsolutePath().normalize()
    val measurement = when (name) {
        "throughput" -> ThroughputMeasurement(root)::run
        "recovery" -> RecoveryMeasurement(root)::run
        "crest" -> PeakMeasurement(root)::run
        "blocking" -> BlockingMeasurement(root)::run
        else -> {
            System.err.println(
                "measure: got $name, expected throughput, recovery, crest or blocking"
            )
            exitProcess(2)
        }
    }
    val report = measurement(seed.toLong())
    println(Json.encodeToString(MeasureReport.serializer(), report))
    exitProcess(0)
}
