package org.jacinthlink.cli.experiment

import java.nio.file.Path
import java.time.LocalTime
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.cli.site.ProcessLauncher

/** Runs a scenario on processes under the policy of the system and two baselines. */
internal class ExperimentCommand :
    Command("experiment", "Runs a scenario and compares the policy with two baselines") {
    private val scenario by
        option(ArgType.Choice(scenarios().keys.toList(), { it }), "scenario", "s", "scenario")
            .default("small")
    private val output by
        option(ArgType.String, "output", "o", "folder for results").default("experiment")
    private val run by
        option(ArgType.Choice(RunNames.ALL, { it }), "run", "r", "only this run").multiple()
    private val policy by
        option(ArgType.Choice(POLICIES.keys.toList(), { it }), "policy", "p", "only this policy")
            .multiple()
    private val speed by
        option(ArgType.Double, "speed", description = "factor of the speed of all stages")
            .default(1.0)

    override fun run(): ExitCode {
        if (speed <= 0) return fail(ExitCode.SETTINGS_INVALID, "speed: $speed is not positive")
        val folder = Path.of(output).createDirectories()
        val named = scenarios().getValue(scenario).atSpeed(speed)
        val chosen = if (run.isEmpty()) named else named.copy(runs = run)
        val policies = policy.toSet().ifEmpty { POLICIES.keys }
        return try {
            val results =
                runExperiment(
                    chosen,
                    policies,
                    { ProcessLauncher(folder.resolve("daemons").resolve(it)) },
                    { System.err.println("${LocalTime.now().withNano(0)} $it") }
                ) { write(folder, it) }
            println(resultTable(results))
            ExitCode.OK
        } catch (e: IllegalStateException) {
            fail(ExitCode.INCOMPLETE, "the experiment ended early: ${e.message}")
        }
    }

    private fun write(folder: Path, results: List<RunResult>) {
        results.forEach { result ->
            folder.resolve("${result.run}.json").writeText(resultJson(result))
            folder.resolve("${result.run}.svg").writeText(resultSvg(result))
        }
        folder.resolve("results.md").writeText(resultTable(results))
    }
}
