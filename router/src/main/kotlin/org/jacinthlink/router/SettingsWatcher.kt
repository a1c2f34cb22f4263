package org.jacinthlink.router

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.runtime.settings.loadSettings
import org.jacinthlink.transport.EventLoop
import sun.misc.Signal

/**
 * Reads the settings again on SIGHUP and when their file changes.
 *
 * Addresses hold until the next start; what may change while running is handed to [onNew].
 */
internal class SettingsWatcher(
    private val file: Path,
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val onNew: (RouterSettings) -> Unit
) {
    private var readAt: FileTime? = modified()

    /** Begins to watch; SIGHUP no longer ends the process. */
    fun start() {
        Signal.handle(Signal("HUP")) { loop.execute { reload("signal") } }
        loop.repeat(PERIOD_MS) { if (modified() != readAt) reload("file changed") }
    }

    private fun reload(cause: String) {
        readAt = modified()
        val loaded =
            loadSettings(RouterSettings.serializer(), file) { settings -> check(settings) }
        when (loaded) {
            is Failure ->
                log.event("settings_unreadable", "cause" to cause, "fault" to loaded.message)
            is Success -> {
                log.event("settings_reloaded", "cause" to cause)
                onNew(loaded.value)
            }
        }
    }

    private fun modified(): FileTime? =
        try {
            Files.getLastModifiedTime(file)
        } catch (e: IOException) {
            log.event("settings_missing", "file" to file, "fault" to e.javaClass.simpleName)
            null
        }

    private companion object {
        const val PERIOD_MS = 2_000L
    }
}
