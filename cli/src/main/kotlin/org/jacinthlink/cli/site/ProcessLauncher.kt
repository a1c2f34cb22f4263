package org.jacinthlink.cli.site

import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlinx.serialization.KSerializer
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.settings.renderSettings
import org.jacinthlink.sidecar.SidecarSettings

/**
 * Starts each daemon as a process, with its settings and its log in [folder].
 *
 * @param classPath Class path of the processes.
 */
class ProcessLauncher(
    private val folder: Path,
    private val classPath: String = System.getProperty("java.class.path")
) : Launcher {
    init {
        folder.createDirectories()
    }

    override fun entry(settings: EntrySettings): DaemonProcess =
        launch("entry", settings.daemon, EntrySettings.serializer(), settings)

    override fun sidecar(settings: SidecarSettings): DaemonProcess =
        launch("sidecar", settings.daemon, SidecarSettings.serializer(), settings)

    private fun <T> launch(
        command: String,
        daemon: DaemonSettings,
        serializer: KSerializer<T>,
        settings: T
    ): DaemonProcess {
        val file = folder.resolve("${daemon.name}.yaml")
        file.writeText(renderSettings(serializer, settings))
        val log = folder.resolve("${daemon.name}-${System.nanoTime()}.log")
        val address = "${daemon.host}:${daemon.port}"
        val arguments = listOf(command, "--settings", file.toString())
        return DaemonProcess.start(daemon.name, address, log, classPath, arguments)
    }
}
