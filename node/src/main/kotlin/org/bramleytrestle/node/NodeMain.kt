package org.bramleytrestle.node

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.bramleytrestle.node.config.NodeConfig
import org.slf4j.LoggerFactory

private const val EXIT_INVALID_SETTINGS = 2

private enum class LogFormat {
    TEXT,
    JSON
}

/**
 * Entry point of the `bramleytrestle` program, which runs one node. SIGTERM drains the node
 * before it stops.
 */
public fun main(args: Array<String>) {
    val parser = ArgParser("bramleytrestle")
    val settings by parser.option(
        ArgType.String,
        fullName = "settings",
        description = "YAML file with the settings of this node"
    ).required()
    val logFormat by parser.option(
        ArgType.Choice<LogFormat>(),
        fullName = "log-format",
        description = "Format of log lines"
    ).default(LogFormat.TEXT)
    parser.parse(args)
    if (logFormat == LogFormat.JSON) enableJsonLogging()

    val config = readConfig(settings)
    val node = NodeRuntime(config)
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { node.drainAndStop() } })
    runBlocking { node.start() }
    KotlinLogging.logger {}.info { "node: ${config.instance} started" }
}

private fun readConfig(path: String): NodeConfig {
    val text = try {
        File(path).readText()
    } catch (e: IOException) {
        exitWithError("$path: ${e.message}")
    }
    return NodeConfig.parse(text).getOrElse { exitWithError("$path: $it") }
}

private fun exitWithError(detail: String): Nothing {
    System.err.println("bramleytrestle: $detail")
    exitProcess(EXIT_INVALID_SETTINGS)
}

private fun enableJsonLogging() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val appender = context.getLogger("ROOT").getAppender("CONSOLE")
        as ConsoleAppender<ILoggingEvent>
    appender.stop()
    appender.encoder = JsonEncoder().also {
        it.context = context
        it.start()
    }
    appender.start()
}
