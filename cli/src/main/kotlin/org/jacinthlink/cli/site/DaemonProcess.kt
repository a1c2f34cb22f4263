package org.jacinthlink.cli.site

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import org.jacinthlink.runtime.RunningProcess

/**
 * A daemon as an operating-system process.
 *
 * @property log File that holds all output of the process.
 */
class DaemonProcess
private constructor(
    val name: String,
    override val address: String,
    val log: Path,
    private val process: Process
) : RunningProcess {
    /** Process id. */
    val pid: Long get() = process.pid()

    /** False once the process has ended. */
    val isAlive: Boolean get() = process.isAlive

    /** Asks for a graceful stop with SIGTERM. */
    override fun drain() = process.destroy()

    override fun awaitStopped() {
        process.waitFor()
    }

    /** Waits for the end of the process; false if it still runs after [timeoutMs]. */
    fun awaitEnd(timeoutMs: Long): Boolean = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)

    /** Ends the process without notice, as a crash does; a frozen one as well. */
    override fun stop() {
        process.destroyForcibly().waitFor()
    }

    companion object {
        // The heap cap shows that a daemon fits into a small instance.
        private val jvmOptions =
            listOf("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")

        /** Starts `jacinthlink` with [arguments] from [classPath] with its output in [log]. */
        fun start(
            name: String,
            address: String,
            log: Path,
            classPath: String,
            arguments: List<String>
        ): DaemonProcess {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val command =
                listOf(java) + jvmOptions +
                    listOf("-cp", classPath, "org.jacinthlink.cli.MainKt") + arguments
            val process =
                ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start()
            // An aborted experiment or a failed test must not leave processes behind.
            Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
            return DaemonProcess(name, address, log, process)
        }
    }
}
