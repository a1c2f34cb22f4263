package org.jacinthlink.router

import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes one line of key=value pairs for each decision and each change of the local state.
 *
 * Lines are held back until [open], because the logging library takes a good part of the time of a
 * start, and callers are waiting.
 *
 * @param openOutput Opens the output of the lines; it is called once, and may take long.
 */
class DecisionLog internal constructor(
    private val instance: String,
    private val openOutput: () -> (line: String) -> Unit
) {
    private val heldLines = ArrayList<String>()

    @Volatile
    private var output: ((line: String) -> Unit)? = null

    /** Writes the line of [event]; fields with a null value are left out. */
    fun event(event: String, vararg fields: Pair<String, Any?>) {
        val line = line(event, fields.asList())
        output?.invoke(line) ?: hold(line)
    }

    /** Opens the output, and writes the lines that were held back. */
    fun open() {
        if (output != null) return
        writeHeldLines(openOutput())
    }

    @Synchronized
    private fun writeHeldLines(write: (String) -> Unit) {
        heldLines.forEach(write)
        heldLines.clear()
        output = write
    }

    @Synchronized
    private fun hold(line: String) {
        val write = output
        when {
            write != null -> write(line)
            heldLines.size < MAX_HELD_LINES -> heldLines.add(line)
        }
    }

    private fun line(event: String, fields: List<Pair<String, Any?>>): String =
        buildString {
            append("event=").append(event).append(" instance=").append(instance)
            fields.forEach { (name, value) -> if (value != null) appendField(name, value) }
        }

    private fun StringBuilder.appendField(name: String, value: Any) {
        append(' ').append(name).append('=')
        val text = value.toString().take(MAX_VALUE_LENGTH)
        if (text.isNotEmpty() && text.none(::needsQuotes)) {
            append(text)
        } else {
            append('"').append(text.replace('"', '\'').map { printable(it) }.joinToString(""))
                .append('"')
        }
    }

    private fun needsQuotes(char: Char): Boolean = char <= ' ' || char in "\"="

    private fun printable(char: Char): Char = if (char.isISOControl()) ' ' else char

    private companion object {
        const val MAX_VALUE_LENGTH = 400

        /** Lines of the first second of a start under load, with a margin. */
        const val MAX_HELD_LINES = 2_048
    }
}

/** Creates a log whose lines name [instance]. */
fun decisionLog(instance: String): DecisionLog =
    DecisionLog(instance) {
        val logger = KotlinLogging.logger("decisions")
        val write: (String) -> Unit = { line -> logger.info { line } }
        write
    }
