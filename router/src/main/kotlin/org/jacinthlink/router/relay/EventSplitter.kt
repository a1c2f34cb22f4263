package org.jacinthlink.router.relay

import java.io.ByteArrayOutputStream
import org.jacinthlink.platform.forward.isPartOfHead

/**
 * A complete event of a stream.
 *
 * @property id Value of the `id` field, or null if the event has none.
 * @property isForeign True if a line of it belongs to the head of a response, so that bytes of
 *   another response have come between the events.
 */
internal class StreamEvent(val bytes: ByteArray, val id: Long?, val isForeign: Boolean)

/**
 * Splits the bytes of an event stream into complete events, because a server may stop in the middle
 * of an event. Empty lines between events are dropped.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var atLineStart = false

    /** True once a line of the pending event is not empty. */
    private var hasContent = false

    /** True while the first bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = hasContent

    /** Number of bytes of an incomplete event that are buffered. */
    val pendingBytes: Int get() = pending.size()

    /** Adds [part] and returns the events that it completes. */
    fun feed(part: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        var from = 0
        part.forEachIndexed { i, byte ->
            if (endsBlock(byte)) {
                if (hasContent) {
                    pending.write(part, from, i + 1 - from)
                    events.add(event(pending.toByteArray()))
                }
                from = i + 1
                startBlock()
            }
        }
        pending.write(part, from, part.size - from)
        return events
    }

    /** Takes the next byte. Returns true if it ends an empty line, and with it an event. */
    private fun endsBlock(byte: Byte): Boolean {
        val endsEmptyLine = byte == LINE_FEED && atLineStart
        when (byte) {
            LINE_FEED -> atLineStart = true
            CARRIAGE_RETURN -> Unit
            else -> {
                atLineStart = false
                hasContent = true
            }
        }
        return endsEmptyLine
    }

    private fun startBlock() {
        pending.reset()
        atLineStart = false
        hasContent = false
    }

    private fun event(bytes: ByteArray): StreamEvent {
        val lines = bytes.toString(Charsets.ISO_8859_1).lines()
        return StreamEvent(bytes, eventId(lines), lines.any(::isPartOfHead))
    }

    private fun eventId(lines: List<String>): Long? =
        lines.firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
