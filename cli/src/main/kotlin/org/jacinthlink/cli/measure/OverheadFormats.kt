package org.jacinthlink.cli.measure

import java.util.Locale
import kotlinx.serialization.json.Json

/** [report] as JSON. */
internal fun overheadJson(report: OverheadReport): String =
    ReportJson.encodeToString(OverheadReport.serializer(), report) + "\n"

/** [report] as a table of milliseconds. */
internal fun overheadText(report: OverheadReport): String {
    val rows =
        listOf(
            "first token" to report.firstTokenMs,
            "token gap" to report.tokenGapMs,
            "plain GET" to report.plainGetMs,
            "keyed POST" to report.keyedPostMs
        )
    val plan = report.plan
    return "${plan.requests} requests of each kind on each way after ${plan.warmUpRequests} to " +
        "warm up; ${plan.promptTokens} prompt words, ${plan.maxTokens} tokens\n" +
        HEAD + rows.joinToString("") { (name, overhead) -> row(name, overhead) }
}

private fun row(name: String, overhead: Overhead) =
    String.format(
        Locale.ROOT,
        ROW,
        name,
        overhead.throughEntryMs.p50,
        overhead.throughEntryMs.p95,
        overhead.directMs.p50,
        overhead.directMs.p95,
        overhead.addedP50Ms,
        overhead.addedP95Ms
    )

private val ReportJson = Json {
    prettyPrint = true
    encodeDefaults = true
}

private const val ROW = "%-12s %10.3f %10.3f %10.3f %10.3f %10.3f %10.3f\n"
private val HEAD =
    "%-12s %21s %21s %21s\n".format("ms", "through entry", "direct", "added") +
        "%-12s %10s %10s %10s %10s %10s %10s\n"
            .format("", "p50", "p95", "p50", "p95", "p50", "p95")
