package org.jacinthlink.cli

import org.jacinthlink.cli.admin.adminCommands
import org.jacinthlink.cli.daemons.daemonCommands
import org.jacinthlink.cli.daemons.standInCommands
import org.jacinthlink.cli.demo.DemoCommand
import org.jacinthlink.cli.experiment.ExperimentCommand
import org.jacinthlink.cli.load.LoadCommand
import org.jacinthlink.cli.measure.MeasureCommand

fun main(args: Array<String>) {
    val tools = listOf(
        DemoCommand(),
        LoadCommand(),
        ExperimentCommand(),
        MeasureCommand(),
        VersionCommand()
    )
    runCommandLine(daemonCommands() + adminCommands() + tools + standInCommands(), args)
}
