package org.bramleytrestle.standins.service

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Starts one stand-in service and prints its id and address. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-service")
    val defaults = ServiceConfig("service")
    val port by parser.option(ArgType.Int, "port").default(0)
    val id by parser.option(ArgType.String, "id").default(defaults.id)
    val dataCentre by parser.option(ArgType.String, "data-centre").default(defaults.dataCentre)
    val work by parser.option(ArgType.Int, "work-millis").default(defaults.workMillis.toInt())
    val maxRunning by parser.option(ArgType.Int, "max-running").default(defaults.maxRunning)
    val reportLag by parser.option(ArgType.Int, "report-lag-millis")
        .default(defaults.reportLagMillis.toInt())
    parser.parse(args)

    val config = ServiceConfig(
        id = id,
        port = port,
        dataCentre = dataCentre,
        workMillis = work.toLong(),
        maxRunning = maxRunning,
        reportLagMillis = reportLag.toLong()
    )
    val server = ServiceServer(config)
    println("${server.id} ${server.address}")
    Thread.currentThread().join()
}
