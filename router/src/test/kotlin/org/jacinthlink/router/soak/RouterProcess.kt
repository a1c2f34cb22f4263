package org.jacinthlink.router.soak

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.div
import kotlin.io.path.writeText
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.router.RouterSettings

/** A router in a separate process, which the soak test starts, signals and restarts. */
internal class RouterProcess(private val settings: RouterSettings, private val folder: Path) :
    AutoCloseable {
    private val file = folder / "${settings.instance}.yaml"

    @Volatile
    private var process: Process? = null

    /** `IP:PORT` for callers. */
    val clients: String get() = settings.clients

    /** Starts the process unless it is running; its output is appended to the same file. */
    fun start() {
        if (process?.isAlive == true) return
        file.writeText(ProtocolJson.encodeToString(RouterSettings.serializer(), settings))
        val command = jvmCommand("org.jacinthlink.router.MainKt", "--settings", "$file")
        process =
            ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(
                    ProcessBuilder.Redirect.appendTo((folder / "${settings.instance}.log").toFile())
                )
                .start()
    }

    /** Ends the process with SIGKILL. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Sends SIGTERM, and kills the process if it does not end within the grace time. */
    fun terminate() {
        val running = process ?: return
        running.destroy()
        if (!running.waitFor(settings.shutdownGraceS.toLong(), TimeUnit.SECONDS)) kill()
    }

    /** Suspends the process with SIGSTOP. */
    fun suspendProcess() {
        process?.signal("STOP")
    }

    /** Resumes a suspended process with SIGCONT. */
    fun resumeProcess() {
        process?.signal("CONT")
    }

    override fun close() = kill()
}

/** Command that runs [mainClass] of the test's class path in a small JVM. */
internal fun jvmCommand(mainClass: String, vararg arguments: String): List<String> =
    listOf(File(System.getProperty("java.home"), "bin/java").path) + JVM_OPTIONS +
        listOf("-cp", classPath(), mainClass) + arguments

/** Sends the signal [name] to the process if it is alive. */
internal fun Process.signal(name: String) {
    if (isAlive) ProcessBuilder("kill", "-$name", pid().toString()).start().waitFor()
}

private val JVM_OPTIONS =
    listOf("-Xmx56m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

private fun classPath(): String =
    System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
