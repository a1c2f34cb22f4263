package org.jacinthlink.router

import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.platform.boot.platformSettingsPath
import org.jacinthlink.runtime.settings.loadSettings

/** Runs a router until SIGTERM. */
fun main(args: Array<String>) {
    val parser = ArgParser("jacinthlink-router")
    val file by parser.option(ArgType.String, "settings", "s", "YAML file with the settings")
    val check by
        parser.option(ArgType.Boolean, "check", description = "check the settings and end")
            .default(false)
    val warmUp by
        parser.option(
            ArgType.Boolean,
            "warm-up",
            description = "run for a moment, so that the build can archive the loaded classes"
        ).default(false)
    parser.parse(args)
    val path = file ?: platformSettingsPath(System.getenv())
    if (path == null) fail("no settings: give --settings FILE")
    val loaded =
        loadSettings(RouterSettings.serializer(), Path.of(path)) { settings -> check(settings) }
    when (loaded) {
        is Failure -> fail("${loaded.code.number} ${loaded.code.name}: ${loaded.message}")
        is Success ->
            when {
                check -> println("$path: valid")
                warmUp -> warmUp(loaded.value)
                else -> run(loaded.value, Path.of(path))
            }
    }
}

private fun run(settings: RouterSettings, file: Path) {
    val end = FailureEnd(Runtime.getRuntime()::halt)
    end.watchThreads()
    val router = router(settings, end)
    end.watch { router.isWorking }
    Runtime.getRuntime().addShutdownHook(Thread({ router.drain() }, "drain"))
    router.start()
    router.watchSettings(file)
    Thread.sleep(OPEN_LOG_DELAY_MS)
    router.openLogAndMetrics()
    Thread.currentThread().join()
}

private fun fail(message: String): Nothing {
    System.err.println("jacinthlink-router: $message")
    exitProcess(SETTINGS_INVALID)
}

private const val SETTINGS_INVALID = 2

/** The first requests and the first answers of the store go before log and metrics. */
private const val OPEN_LOG_DELAY_MS = 700L
