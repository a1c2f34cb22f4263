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
 * Reloads the settings on SIGHUP and when their file changes.
 *
 * [onNew] receives the new settings; changed addresses take effect only at the next start.
 */
internal class SettingsWatcher(
    private val file: Path,
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val onNew: (RouterSettings) -> Unit
) {
    private var readAt: FileTime? = lastModified()

    /** Starts to watch; SIGHUP no longer ends the process. */
    fun start() {
        Signal.handle(Signal("HUP")) { loop.execute { reload("signal") } }
        loop.repeat(POLL_INTERVAL_MS) { if (lastModified() != readAt) reload("file changed") }
    }

    private fun reload(cause: String) {
        readAt = lastModified()
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

    private fun lastModified(): FileTime? =
        try {
            Files.getLastModifiedTime(file)
        } catch (e: IOException) {
            log.event("settings_missing", "file" to file, "fault" to e.javaClass.simpleName)
            null
        }

    private companion object {
        const val POLL_INTERVAL_MS = 2_000L
    }
}
