package org.bramleytrestle.ctl

import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Entry point of the `bramleyctl` program. It exits with one of [ExitCode]. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("bramleyctl", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        ValidateCommand(),
        PlanCommand(),
        ApplyCommand(),
        GetCommand(),
        HistoryCommand(),
        ShowCommand(),
        RollbackCommand(),
        StatusCommand(),
        DrainCommand(),
        LoadCommand()
    )
    try {
        parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    } catch (e: CommandFailure) {
        System.err.println("bramleyctl: ${e.message}")
        exitProcess(e.exit.code)
    }
    exitProcess(ExitCode.OK.code)
}
