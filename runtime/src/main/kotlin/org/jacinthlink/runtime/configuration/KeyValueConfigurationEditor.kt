package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Failure
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ReadResult
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.SwapResult
import org.jacinthlink.runtime.events.EventLog

/** Makes the document that follows from a change. */
typealias ApplyChange = (Configuration, ConfigurationChange) -> Outcome<Configuration>

/** Editor that writes by compare-and-swap and then waits until the change is in force. */
internal class KeyValueConfigurationEditor(
    private val keyValue: KeyValueService,
    private val store: ConfigurationStore,
    private val applyChange: ApplyChange,
    private val confirmation: ConfigurationConfirmation,
    private val eventLog: EventLog
) : ConfigurationEditor {
    override fun apply(
        change: ConfigurationChange,
        expectedRevision: Long?
    ): Outcome<AppliedChange> {
        val written = ChangeWrite(change, expectedRevision).run()
        record(change, written)
        return when (written) {
            is Failure -> written
            is Success -> {
                store.offer(written.value, "editor")
                Success(confirmation.await(written.value.revision))
            }
        }
    }

    private fun record(change: ConfigurationChange, written: Outcome<Configuration>) =
        when (written) {
            is Success ->
                eventLog.record(
                    "configuration_written",
                    null,
                    "change" to change.changeId,
                    "revision" to written.value.revision
                )
            is Failure ->
                eventLog.record(
                    "configuration_not_written",
                    null,
                    "change" to change.changeId,
                    "code" to written.code,
                    "error" to written.message
                )
        }

    /** One change on its way into the key-value service. */
    private inner class ChangeWrite(
        private val change: ConfigurationChange,
        private val expectedRevision: Long?
    ) {
        // Version on which a write with a lost answer was built. It can take effect until the key
        // leaves this version.
        private var openVersion: Long? = null

        private var readsBackLeft = MAX_READS_BACK

        fun run(): Outcome<Configuration> {
            repeat(MAX_ATTEMPTS) { attempt()?.let { return it } }
            return unresolvedOr(ResultCode.CONFIGURATION_CONFLICT, "too many concurrent changes")
        }

        /** Returns null if another attempt is needed. */
        private fun attempt(): Outcome<Configuration>? =
            when (val read = keyValue.get(CONFIGURATION_KEY)) {
                is ReadResult.Unavailable -> readFailed(read.message)
                is ReadResult.Found -> {
                    val document = decodeStored(read.value)
                    if (document == null) unreadable() else buildOn(document)
                }
            }

        /** The outcome of a lost write is worth a few reads; a first read is not repeated. */
        private fun readFailed(message: String): Outcome<Configuration>? {
            if (openVersion == null || readsBackLeft-- <= 0) {
                return unresolvedOr(ResultCode.CONFIGURATION_UNAVAILABLE, message)
            }
            Thread.sleep(READ_BACK_PAUSE_MS)
            return null
        }

        private fun buildOn(document: Configuration): Outcome<Configuration>? {
            if (openVersion != document.revision) openVersion = null
            if (change.changeId in document.recentChangeIds) return Success(document)
            if (expectedRevision != null && expectedRevision != document.revision) {
                return Failure(
                    ResultCode.CONFIGURATION_CONFLICT,
                    "revision $expectedRevision was expected, ${document.revision} is in force"
                )
            }
            return when (val next = applyChange(document, change)) {
                is Failure -> next
                is Success -> swap(document.revision, withChangeId(next.value))
            }
        }

        private fun swap(version: Long, next: Configuration): Outcome<Configuration>? {
            val value = encodeConfiguration(next)
            val sizeBytes = value.toByteArray().size
            if (sizeBytes > MAX_VALUE_BYTES) return tooLarge(sizeBytes)
            return when (val result = keyValue.compareAndSwap(CONFIGURATION_KEY, version, value)) {
                is SwapResult.Swapped -> Success(next.copy(revision = result.version))
                is SwapResult.Conflict -> null
                is SwapResult.NotSent ->
                    unresolvedOr(ResultCode.CONFIGURATION_UNAVAILABLE, result.message)
                is SwapResult.Unknown -> {
                    openVersion = version
                    null
                }
            }
        }

        private fun withChangeId(next: Configuration): Configuration =
            if (change.changeId in next.recentChangeIds) {
                next
            } else {
                val ids = (next.recentChangeIds + change.changeId).takeLast(MAX_CHANGE_IDS)
                next.copy(recentChangeIds = ids)
            }

        /** A write that may yet take effect forbids any answer that says "not applied". */
        private fun unresolvedOr(code: ResultCode, message: String): Failure =
            if (openVersion == null) {
                Failure(code, "not applied: $message")
            } else {
                Failure(
                    ResultCode.CONFIGURATION_UNKNOWN,
                    "the answer to the write was lost and reading back failed: $message"
                )
            }

        private fun unreadable() =
            unresolvedOr(
                ResultCode.CONFIGURATION_INVALID,
                "the value of $CONFIGURATION_KEY is not a configuration document"
            )

        private fun tooLarge(sizeBytes: Int) =
            Failure(
                ResultCode.CONFIGURATION_INVALID,
                "not applied: the document would have $sizeBytes bytes, over $MAX_VALUE_BYTES"
            )
    }

    private companion object {
        const val MAX_ATTEMPTS = 20
        const val MAX_CHANGE_IDS = 100

        const val MAX_READS_BACK = 4
        const val READ_BACK_PAUSE_MS = 200L

        // Both the service and the HTTP server of a peer take a megabyte.
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
