package org.jacinthlink.processtests

import java.io.File
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.createTempDirectory
import kotlinx.serialization.KSerializer
import org.jacinthlink.cli.site.Launcher
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.settings.renderSettings
import org.jacinthlink.sidecar.SidecarSettings

/** Starts each daemon as an operating-system process and waits until it is healthy. */
class ProcessLauncher : Launcher {
    private val folder: File = createTempDirectory("jacinthlink").toFile()

    /** Latest process of each name. */
    val processes = ConcurrentHashMap<String, JvmProcess>()

    override fun entry(settings: EntrySettings): JvmProcess =
        launch("entry", settings.daemon, EntrySettings.serializer(), settings)

    override fun sidecar(settings: SidecarSettings): JvmProcess =
        launch("sidecar", settings.daemon, SidecarSettings.serializer(), settings)

    private fun <T> launch(
        command: String,
        daemon: DaemonSettings,
        serializer: KSerializer<T>,
        settings: T
    ): JvmProcess {
        val file = folder.resolve("${daemon.name}.yaml")
        file.writeText(renderSettings(serializer, settings))
        val log = folder.resolve("${daemon.name}-${System.nanoTime()}.log")
        val address = "${daemon.host}:${daemon.port}"
        val process = JvmProcess.start(daemon.name, address, log, command, "--settings", file.path)
        processes[daemon.name] = process
        return process
    }
}
