package org.bramleytrestle.ctl

import java.util.concurrent.TimeUnit
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json

/** Sends completions at a fixed rate and prints latency percentiles as JSON. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand :
    Subcommand("load", "Send completions at a fixed rate and print latencies") {
    private val entry by option(
        ArgType.String,
        fullName = "entry",
        description = "Caller address of any node"
    ).required()
    private val organisation by option(ArgType.String, fullName = "organisation").required()
    private val model by option(ArgType.String, fullName = "model").required()
    private val rate by option(
        ArgType.Double,
        fullName = "rate",
        description = "Requests per second"
    ).default(DEFAULT_RATE)
    private val seconds by option(
        ArgType.Int,
        fullName = "seconds",
        description = "Duration in seconds"
    ).default(DEFAULT_SECONDS)
    private val maxTokens by option(
        ArgType.Int,
        fullName = "max-tokens",
        description = "Maximum number of tokens per response"
    ).default(DEFAULT_MAX_TOKENS)

    override fun execute() {
        if (rate <= 0 || rate > MAX_RATE) {
            throw CommandFailure(
                ExitCode.INVALID,
                "--rate: got $rate, expected above 0 and at most $MAX_RATE"
            )
        }
        if (seconds !in 1..MAX_SECONDS) {
            throw CommandFailure(
                ExitCode.INVALID,
                "--seconds: got $seconds, expected 1 to $MAX_SECONDS"
            )
        }
        val generator = LoadGenerator(entry, organisation, model, maxTokens)
        val intervalNanos = (TimeUnit.SECONDS.toNanos(1) / rate).toLong()
        val report = generator.run((rate * seconds).toInt(), intervalNanos)
        println(Json.encodeToString(LoadReport.serializer(), report))
    }

    private companion object {
        const val DEFAULT_RATE = 5.0
        const val DEFAULT_SECONDS = 10
        const val DEFAULT_MAX_TOKENS = 32
        const val MAX_RATE = 1_000.0
        const val MAX_SECONDS = 600
    }
}
