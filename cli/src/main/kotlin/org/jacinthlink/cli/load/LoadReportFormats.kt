package org.jacinthlink.cli.load

import kotlinx.serialization.json.Json

/** The report as JSON. */
fun loadReportJson(report: LoadReport): String =
    ReportJson.encodeToString(LoadReport.serializer(), report) + "\n"

/** The report as a self-contained SVG image: time to first token and goodput by class over time. */
fun loadReportSvg(report: LoadReport): String {
    val firstToken =
        SvgPanel(
            "Time to first token, 95th percentile (ms)",
            report.series.mapValues { (_, seconds) ->
                seconds
                    .filter { it.timeToFirstTokenP95Ms > 0 }
                    .map { it.second.toDouble() to it.timeToFirstTokenP95Ms }
            }
        )
    val goodput =
        SvgPanel(
            "Answers within target (per second)",
            report.series.mapValues { (_, seconds) ->
                seconds.map { it.second.toDouble() to it.goodput.toDouble() }
            }
        )
    return svgPlot(listOf(firstToken, goodput))
}

private val ReportJson = Json { prettyPrint = true }
