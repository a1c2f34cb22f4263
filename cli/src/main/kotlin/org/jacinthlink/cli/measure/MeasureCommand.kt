package org.jacinthlink.cli.measure

import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode

internal class MeasureCommand :
    Command("measure", "Measures the cost of each decision at growing sizes") {
    private val seed by
        option(ArgType.Int, "seed", description = "seed of the generated fleets").default(1)
    private val overhead = OverheadCommand()

    init {
        subcommands(overhead)
    }

    // The parser also runs the command whose subcommand it has run.
    override fun run(): ExitCode = if (overhead.hasRun) ExitCode.OK else measureDecisions()

    private fun measureDecisions(): ExitCode {
        val sizes = listOf(40, 150, 300, 600)
        println("decision,size,calls,p50_us,p99_us,mean_us,heap_bytes")
        sizes.forEach { size -> decisionCosts(size, seed).forEach { println(line(it)) } }
        return ExitCode.OK
    }

    private fun line(cost: DecisionCost) =
        "%s,%d,%d,%.2f,%.2f,%.2f,%d".format(
            cost.decision,
            cost.size,
            cost.calls,
            cost.p50Us,
            cost.p99Us,
            cost.meanUs,
            cost.heapBytes
        )
}
