package org.bramleytrestle.ctl

import kotlinx.cli.ArgType

/** Drains a node or a backend server. */
internal class DrainCommand :
    NodeCommand("drain", "Drain the addressed node or a backend server known to it") {
    private val instance by argument(ArgType.String, description = "Id of the instance")

    override fun execute() {
        api().drain(instance)
        println("$instance is draining")
    }
}
