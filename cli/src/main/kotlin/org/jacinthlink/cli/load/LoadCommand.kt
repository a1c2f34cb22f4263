package org.jacinthlink.cli.load

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail

internal class LoadCommand : Command("load", "Runs a load plan and writes a report and a plot") {
    private val plan by argument(ArgType.String, description = "YAML file with the load plan")
    private val out by
        option(ArgType.String, "out", "o", "folder for report.json and report.svg").default(".")

    override fun run(): ExitCode =
        try {
            when (val read = readLoadPlan(Path.of(plan).readText())) {
                is Failure -> fail(ExitCode.SETTINGS_INVALID, "$plan: ${read.message}")
                is Success -> report(runLoad(read.value))
            }
        } catch (e: IOException) {
            fail(ExitCode.SETTINGS_INVALID, "${e.javaClass.simpleName}: ${e.message}")
        }

    private fun report(report: LoadReport): ExitCode {
        val folder = Path.of(out).createDirectories()
        folder.resolve("report.json").writeText(loadReportJson(report))
        folder.resolve("report.svg").writeText(loadReportSvg(report))
        println("wrote ${folder.resolve("report.json")} and ${folder.resolve("report.svg")}")
        return ExitCode.OK
    }
}
