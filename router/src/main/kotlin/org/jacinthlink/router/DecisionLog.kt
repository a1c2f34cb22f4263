package org.jacinthlink.router

import io.github.oshai.kotlinlogging.KotlinLogging

/** Writes one line of key=value pairs for each decision and each change of the local state. */
class DecisionLog internal constructor(private val instance: String) {
    /** Writes the line of [event]; fields with a null value are left out. */
    fun event(event: String, vararg fields: Pair<String, Any?>) {
        logger.info { line(event, fields.asList()) }
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
        val logger = KotlinLogging.logger("decisions")
        const val MAX_VALUE_LENGTH = 400
    }
}

/** Creates a log whose lines name [instance]. */
fun decisionLog(instance: String): DecisionLog = DecisionLog(instance)
