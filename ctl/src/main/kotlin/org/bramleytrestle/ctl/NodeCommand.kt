package org.bramleytrestle.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** A subcommand that calls the operator API of a node. */
@OptIn(ExperimentalCli::class)
internal abstract class NodeCommand(name: String, description: String) :
    Subcommand(name, description) {
    private val node by option(
        ArgType.String,
        fullName = "node",
        description = "Operator address of a node; default: BRAMLEYCTL_NODE"
    ).default(System.getenv("BRAMLEYCTL_NODE") ?: "http://127.0.0.1:8100")

    private val token by option(
        ArgType.String,
        fullName = "token",
        description = "Operator token; default: BRAMLEYCTL_TOKEN"
    ).default(System.getenv("BRAMLEYCTL_TOKEN").orEmpty())

    protected val asJson: Boolean by option(
        ArgType.Boolean,
        fullName = "json",
        description = "Print JSON"
    ).default(false)

    protected fun api(): NodeApi = NodeApi(node, token)
}
