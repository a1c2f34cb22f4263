package org.jacinthlink.entry.chat

import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Failure
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.Success
import org.jacinthlink.decision.quarantine.CrashHistory
import org.jacinthlink.decision.quarantine.CrashRecord
import org.jacinthlink.decision.quarantine.RunMode
import org.jacinthlink.decision.quarantine.clearCrashes
import org.jacinthlink.decision.quarantine.crashesOf
import org.jacinthlink.decision.quarantine.recordCrash
import org.jacinthlink.decision.quarantine.runMode
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.tryExecute

/** Requests that crashed backend servers, by fingerprint, and their quarantine. */
internal class CrashRegister(private val context: EntryContext) {
    private val suspects = AtomicReference(CrashHistory())

    // Quarantines that are not yet written, as during an outage of the key-value service.
    private val pending = ConcurrentHashMap<String, ConfigurationChange.Quarantine>()

    private val broadcast = CrashBroadcast(context)
    private val harmfulParts = HarmfulParts()

    fun start() {
        context.scope.repeat("quarantine", { RETRY_MS }, ::writePending)
        broadcast.start()
        val quarantined = AtomicReference(context.configuration.current.quarantine.keys)
        context.configuration.addListener { newer ->
            // An operator's release outweighs the crashes that this entry remembers.
            forget(quarantined.getAndSet(newer.quarantine.keys) - newer.quarantine.keys)
        }
    }

    /** How a request with [fingerprint] may run now. */
    fun mode(fingerprint: String, nowMs: Long): RunMode =
        if (fingerprint in context.configuration.current.quarantine) {
            RunMode.REFUSED
        } else {
            runMode(suspects.get(), fingerprint, nowMs)
        }

    /** How [chat] may run now. */
    fun mode(chat: ChatRequest, nowMs: Long): RunMode =
        if (harmfulParts.areIn(chat, nowMs)) RunMode.REFUSED else mode(chat.fingerprint, nowMs)

    /** Notes a crash that this entry saw. */
    fun crashed(crash: SeenCrash, nowMs: Long) {
        broadcast.add(crash)
        noticed(listOf(crash), nowMs)
    }

    /** Notes that the first token of [chat] has arrived. */
    fun begun(chat: ChatRequest, nowMs: Long) = harmfulParts.begun(chat, nowMs)

    /** Notes crashes, of this entry or of another one. */
    fun noticed(crashes: List<SeenCrash>, nowMs: Long) {
        crashes.forEach { harmfulParts.crashed(it, nowMs) }
        suspects.updateAndGet { known ->
            crashes.fold(known) { sum, crash -> noticed(sum, crash, nowMs) }
        }
    }

    private fun noticed(known: CrashHistory, crash: SeenCrash, nowMs: Long): CrashHistory =
        if (crash.cleared) {
            clearCrashes(known, crash.fingerprint, setOf(crash.crashId))
        } else {
            val added = CrashRecord(crash.crashId, nowMs, crash.isolated)
            recordCrash(known, crash.fingerprint, added)
        }

    /** Crashes that count for [fingerprint]. */
    fun known(fingerprint: String, nowMs: Long): List<SeenCrash> =
        crashesOf(suspects.get(), fingerprint, nowMs)
            .map { SeenCrash(fingerprint, it.isolated, it.id) }

    /** Notes that an isolated request ended well, so that it was not the cause of a crash. */
    fun cleared(fingerprint: String, nowMs: Long) {
        val cleared = known(fingerprint, nowMs).map { it.copy(cleared = true) }
        cleared.forEach(broadcast::add)
        noticed(cleared, nowMs)
    }

    private fun forget(released: Set<String>) {
        if (released.isEmpty()) return
        suspects.updateAndGet { CrashHistory(it.crashes - released) }
        released.forEach { pending.remove(it) }
    }

    /**
     * Quarantines [fingerprint] and then calls [onWritten], whether or not the write succeeded. The
     * answer to the caller waits for it, so that a retry at another entry finds the quarantine.
     */
    fun quarantine(
        fingerprint: String,
        requestId: RequestId,
        nowMs: Long,
        onWritten: () -> Unit
    ) {
        val change =
            ConfigurationChange.Quarantine(UUID.randomUUID().toString(), fingerprint, nowMs)
        if (pending.putIfAbsent(fingerprint, change) != null) return onWritten()
        val queued =
            context.background.tryExecute {
                write(change, requestId)
                onWritten()
            }
        if (!queued) onWritten()
    }

    private fun writePending() = pending.values.forEach { write(it, null) }

    private fun write(change: ConfigurationChange.Quarantine, requestId: RequestId?) {
        when (val result = context.configurationEditor.apply(change)) {
            is Success -> {
                pending -= change.fingerprint
                context.eventLog.record(
                    "quarantined",
                    requestId,
                    "fingerprint" to change.fingerprint,
                    "revision" to result.value.revision
                )
            }
            is Failure ->
                context.eventLog.record(
                    "quarantine_not_written",
                    requestId,
                    "fingerprint" to change.fingerprint,
                    "code" to result.code,
                    "reason" to result.message
                )
        }
    }

    private companion object {
        const val RETRY_MS = 2_000L
    }
}
