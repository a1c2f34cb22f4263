package org.jacinthlink.cli

import org.jacinthlink.cli.measure.MeasureCommand

fun main(args: Array<String>) = runCommandLine(listOf(MeasureCommand(), VersionCommand()), args)
