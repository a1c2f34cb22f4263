package org.jacinthlink.processtests

import java.io.File
import java.util.concurrent.TimeUnit
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

/** One daemon of the system as an operating-system process. */
class JvmProcess private constructor(
    val name: String,
    override val address: String,
    val logFile: File,
    private val process: Process
) : RunningProcess {
    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** Waits until `/health` answers. */
    fun awaitHealthy(timeoutMs: Long = 20_000) =
        eventually("$name is healthy", timeoutMs) {
            check(process.isAlive) { "$name has ended:\n${logFile.readText().takeLast(2_000)}" }
            val result = client.call(PeerCall("GET", "http://$address/health"), 500)
            result is PeerResult.Answered && result.isSuccess
        }

    /** Ends the process without notice, as a crash does. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks for a graceful stop with SIGTERM. */
    override fun drain() = process.destroy()

    override fun awaitStopped() {
        process.waitFor()
    }

    /** Ends a frozen process as well. */
    override fun stop() = kill()

    /** Stops the process from running without closing its connections. */
    fun freeze() = signal("STOP")

    /** Lets a frozen process go on. */
    fun thaw() = signal("CONT")

    /** Waits for the end of the process; false if it still runs after [timeoutMs]. */
    fun awaitEnd(timeoutMs: Long): Boolean = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    companion object {
        private val client = peerClient()

        // The heap cap shows that a daemon fits into a small instance.
        private val jvmOptions =
            listOf("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")

        /** Starts `jacinthlink [arguments]`. */
        fun start(name: String, address: String, logFile: File, vararg arguments: String) =
            JvmProcess(name, address, logFile, launch(logFile, arguments.toList()))

        private fun launch(logFile: File, arguments: List<String>): Process {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val classPath =
                System.getProperty("surefire.test.class.path")
                    ?: System.getProperty("java.class.path")
            val command =
                listOf(java) + jvmOptions +
                    listOf("-cp", classPath, "org.jacinthlink.cli.MainKt") + arguments
            val process =
                ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile).start()
            // A failed test must not leave processes behind.
            Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
            return process
        }
    }
}
