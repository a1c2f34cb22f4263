package org.jacinthlink.cli.experiment

import java.io.File
import java.nio.file.Path
import org.jacinthlink.runtime.RunningProcess

/** A daemon as an operating-system process. */
internal class DaemonProcess
private constructor(
    override val address: String,
    private val process: Process
) : RunningProcess {
    override fun drain() = process.destroy()

    override fun awaitStopped() {
        process.waitFor()
    }

    /** Ends the process without notice, as a crash does. */
    override fun stop() {
        process.destroyForcibly().waitFor()
    }

    companion object {
        private val jvmOptions =
            listOf("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")

        /** Starts `jacinthlink [arguments]` with its output in [log]. */
        fun start(address: String, log: Path, vararg arguments: String): DaemonProcess {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val classPath = System.getProperty("java.class.path")
            val command =
                listOf(java) + jvmOptions +
                    listOf("-cp", classPath, "org.jacinthlink.cli.MainKt") + arguments
            val process =
                ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start()
            // An aborted experiment must not leave processes behind.
            Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
            return DaemonProcess(address, process)
        }
    }
}
