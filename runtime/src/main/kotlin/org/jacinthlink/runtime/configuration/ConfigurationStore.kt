package org.jacinthlink.runtime.configuration

import java.util.concurrent.CopyOnWriteArrayList
import org.jacinthlink.api.Configuration
import org.jacinthlink.runtime.events.EventLog

/** Holds the newest document that reached this process. */
internal class ConfigurationStore(private val eventLog: EventLog) : ConfigurationView {
    private val listeners = CopyOnWriteArrayList<(Configuration) -> Unit>()

    @Volatile
    override var current: Configuration = Configuration()
        private set

    @Volatile
    override var isKnown = false
        private set

    override fun addListener(listener: (Configuration) -> Unit) {
        listeners += listener
    }

    /**
     * Takes [document] if it is newer than the current one. [source] says where it came from.
     *
     * Listeners are called under the lock, so that they see the revisions in order.
     */
    @Synchronized
    fun offer(document: Configuration, source: String): Boolean {
        val isNewer = document.revision > current.revision
        if (isNewer) take(document, source)
        isKnown = true
        return isNewer
    }

    private fun take(document: Configuration, source: String) {
        val before = current.revision
        current = document
        eventLog.record(
            "configuration_accepted",
            null,
            "revision" to document.revision,
            "previous_revision" to before,
            "source" to source
        )
        listeners.forEach { notifySafely(it, document) }
    }

    private fun notifySafely(listener: (Configuration) -> Unit, document: Configuration) {
        try {
            listener(document)
        } catch (e: Exception) {
            eventLog.record("listener_failed", null, "error" to "$e")
        }
    }
}
