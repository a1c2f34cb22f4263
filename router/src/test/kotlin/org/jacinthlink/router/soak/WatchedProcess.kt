package org.jacinthlink.router.soak

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines

/** A process that a test has started. Its exit code is written to [exits]. */
internal class WatchedProcess(
    private val name: String,
    val process: Process,
    private val errors: Path,
    private val exits: Path
) {
    @Volatile
    private var isEndPlanned = false

    init {
        process.onExit().thenAccept {
            val line = "pid ${it.pid()} code ${it.exitValue()} planned $isEndPlanned\n"
            exits.toFile().appendText(line)
        }
    }

    val isAlive: Boolean get() = process.isAlive

    /** Ends the process with SIGKILL. */
    fun kill() {
        planEnd()
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGTERM, and kills the process if it does not end within [graceS]. */
    fun terminate(graceS: Long) {
        planEnd()
        process.destroy()
        if (!process.waitFor(graceS, TimeUnit.SECONDS)) kill()
    }

    /** Sends the signal [signal] to the process if it is alive. */
    fun signal(signal: String) {
        if (isAlive) ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }

    fun failures(): List<String> {
        val reported = errors.readLines().filter { line -> REPORTS.any { it in line } }
        return reported.map { "$name: $it" } + listOfNotNull(unplannedEnd())
    }

    private fun planEnd() {
        if (isAlive) isEndPlanned = true
    }

    private fun unplannedEnd(): String? {
        if (isAlive || isEndPlanned && process.exitValue() in SIGNAL_CODES) return null
        return "$name ended by itself with code ${process.exitValue()}"
    }

    private companion object {
        /** Exit codes after SIGKILL and SIGTERM. */
        val SIGNAL_CODES = setOf(137, 143)
        val REPORTS = listOf("event loop", "Error", "io.netty")
    }
}
