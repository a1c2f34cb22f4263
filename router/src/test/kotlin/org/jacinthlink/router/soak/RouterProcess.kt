package org.jacinthlink.router.soak

import java.io.File
import java.nio.file.Path
import kotlin.io.path.div
import kotlin.io.path.writeText
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.router.RouterSettings

/** A router in a separate process, which the soak test starts, signals and restarts. */
internal class RouterProcess(
    private val settings: RouterSettings,
    private val watch: ProcessWatch
) : AutoCloseable {
    private val file = watch.folder / "${settings.instance}.yaml"

    @Volatile
    private var process: WatchedProcess? = null

    /** File with the log of the router. */
    val log: Path = watch.folder / "${settings.instance}.log"

    /** `IP:PORT` for callers. */
    val clients: String get() = settings.clients

    /** Starts the process unless it is running; its output is appended to the same file. */
    fun start() {
        if (process?.isAlive == true) return
        file.writeText(ProtocolJson.encodeToString(RouterSettings.serializer(), settings))
        val command = jvmCommand("org.jacinthlink.router.MainKt", "--settings", "$file")
        val output = ProcessBuilder.Redirect.appendTo(log.toFile())
        process = watch.start(settings.instance, ProcessBuilder(command).redirectOutput(output))
    }

    /** Ends the process with SIGKILL. */
    fun kill() {
        process?.kill()
    }

    /** Sends SIGTERM, and kills the process if it does not end within the grace time. */
    fun terminate() {
        process?.terminate(settings.shutdownGraceS.toLong())
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

private val JVM_OPTIONS =
    listOf("-Xmx56m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

private fun classPath(): String =
    System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
