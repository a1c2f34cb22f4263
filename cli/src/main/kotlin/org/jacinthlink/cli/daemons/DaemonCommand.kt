package org.jacinthlink.cli.daemons

import java.nio.file.Path
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.KSerializer
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.Success
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.settings.Validation
import org.jacinthlink.runtime.settings.loadSettings

/**
 * Command that runs one daemon until it is stopped.
 *
 * @param start Starts the daemon; it ends by itself on SIGTERM.
 */
internal class DaemonCommand<T>(
    name: String,
    description: String,
    private val serializer: KSerializer<T>,
    private val validate: Validation.(T) -> Unit = {},
    private val start: (T) -> Outcome<RunningProcess>
) : Command(name, description) {
    private val settings by
        option(ArgType.String, "settings", "s", "YAML file with the settings").required()
    private val check by
        option(ArgType.Boolean, "check", description = "check the settings and end")
            .default(false)

    override fun run(): ExitCode =
        when (val loaded = loadSettings(serializer, Path.of(settings), validate)) {
            is Failure -> report(loaded)
            is Success -> if (check) checked() else serve(loaded.value)
        }

    private fun checked(): ExitCode {
        println("$settings: valid")
        return ExitCode.OK
    }

    private fun serve(settings: T): ExitCode =
        when (val started = start(settings)) {
            is Failure -> report(started)
            is Success -> {
                started.value.awaitStopped()
                ExitCode.OK
            }
        }

    private fun report(failure: Failure) =
        fail(
            ExitCode.SETTINGS_INVALID,
            "${failure.code.number} ${failure.code.name}: ${failure.message}"
        )
}
