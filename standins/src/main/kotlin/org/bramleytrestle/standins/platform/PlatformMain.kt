package org.bramleytrestle.standins.platform

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Runs the stand-in platform until the process is terminated. */
public object PlatformMain {
    @JvmStatic
    public fun main(args: Array<String>) {
        val parser = ArgParser("standin-platform")
        val port by parser.option(ArgType.Int, description = "Port to listen on").default(0)
        val host by parser.option(ArgType.String, description = "Address to listen on")
            .default("127.0.0.1")
        parser.parse(args)
        println("standin-platform listens on $host:${PlatformServer().start(host, port)}")
    }
}
