package org.jacinthlink.cli.experiment

import java.util.Locale
import kotlinx.serialization.json.Json
import org.jacinthlink.cli.load.SvgPanel
import org.jacinthlink.cli.load.svgPlot

/** [result] as JSON. */
internal fun resultJson(result: RunResult): String =
    ResultJson.encodeToString(RunResult.serializer(), result) + "\n"

/** [result] as an SVG image with a line for each policy. */
internal fun resultSvg(result: RunResult): String {
    val classes = result.policies.values.flatMap { it.classSeries.keys }.distinct().sorted()
    val panels =
        classes.flatMap { name ->
            listOf(
                panel(result, "$name: time to first token, 95th percentile (ms)", name) {
                    it.timeToFirstTokenP95Ms
                },
                panel(result, "$name: share within target", name) {
                    it.withinTarget.toDouble() / it.sent
                }
            )
        }
    return svgPlot(panels + throughput(result))
}

/** Table of [results] in Markdown: one row for each run and policy. */
internal fun resultTable(results: List<RunResult>): String =
    TABLE_HEAD +
        results.joinToString("") { run ->
            run.policies.entries.joinToString("") { (name, result) -> row(run, name, result) }
        }

private fun row(run: RunResult, policy: String, result: PolicyResult): String {
    val shares =
        result.classes.entries.joinToString(", ") { (name, figures) ->
            "$name ${number(figures.withinTargetShare, 3)} of ${figures.sent}"
        }
    val kept = result.kept.entries.joinToString(", ") { "${it.key} ${number(it.value, 2)}" }
    val recovery =
        when {
            run.faultAtSecond == null -> ""
            result.recoveryMs == null -> "not in the run"
            else -> "${result.recoveryMs} ms"
        }
    return "| ${run.run} | $policy | ${number(run.offeredOverBound, 2)} | " +
        "${number(result.throughputOverBound, 2)} | $shares | $kept | " +
        "${number(result.smallCallersMs.p95, 0)} ms | $recovery | " +
        "${number(result.machineCpuShare, 2)}, ${number(result.ownCores, 1)} |\n"
}

private fun panel(
    result: RunResult,
    title: String,
    workClass: String,
    value: (ClassSecond) -> Double
) = SvgPanel(
    title,
    result.policies.mapValues { (_, policy) ->
        policy.classSeries[workClass].orEmpty().map { it.second.toDouble() to value(it) }
    }
)

private fun throughput(result: RunResult) =
    SvgPanel(
        "Throughput over the bound of ${number(result.boundPositionsPerSecond, 0)} positions/s",
        result.policies.mapValues { (_, policy) ->
            policy.throughputSeries.mapIndexed { second, positions ->
                second.toDouble() to positions / result.boundPositionsPerSecond
            }
        }
    )

private fun number(value: Double, digits: Int) =
    String.format(Locale.ROOT, "%.${digits}f", value)

private val ResultJson = Json { prettyPrint = true }

private const val TABLE_HEAD =
    "| run | policy | offered over bound | throughput over bound | within target | kept | " +
        "small callers, p95 to first token | recovery | machine share, own cores |\n" +
        "|---|---|---|---|---|---|---|---|---|\n"
