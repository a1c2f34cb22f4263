package org.jacinthlink.runtime.events

/** Log line of [event]: key=value pairs, `event=` first. */
internal fun eventLine(event: Event): String =
    buildString {
        append("event=").append(lineValue(event.name))
        append(" instance=").append(lineValue(event.instance))
        append(" time_ms=").append(event.timeMs)
        append(" logical=").append(event.logicalTime)
        event.requestId?.let { append(" request_id=").append(lineValue(it)) }
        event.fields.forEach { (key, value) ->
            append(' ').append(lineKey(key)).append('=').append(lineValue(value))
        }
    }

/** Value to record for [field]: masked if the field holds a secret, and bounded in length. */
internal fun recordedValue(field: String, value: Any?): String =
    when {
        lineKey(field).lowercase().replace(SEPARATORS, "") in SECRET_FIELDS -> "***"
        else -> bounded(value.toString())
    }

private fun bounded(text: String): String =
    if (text.length <= MAX_VALUE_LENGTH) text else text.take(MAX_VALUE_LENGTH) + "..."

private fun lineKey(key: String): String = key.replace(NOT_IN_KEY, "_")

private fun lineValue(value: String): String =
    if (value.isNotEmpty() && value.none(::needsQuotes)) value else quoted(value)

private fun needsQuotes(char: Char): Boolean =
    char == ' ' || char == '"' || char == '=' || char == '\\' || isUnprintable(char)

private fun quoted(value: String): String =
    buildString {
        append('"')
        value.forEach { append(escaped(it)) }
        append('"')
    }

private fun escaped(char: Char): String =
    when {
        char == '"' -> "\\\""
        char == '\\' -> "\\\\"
        char == '\n' -> "\\n"
        char == '\r' -> "\\r"
        char == '\t' -> "\\t"
        isUnprintable(char) -> "\\u%04x".format(char.code)
        else -> char.toString()
    }

/** Characters that can end a line, move the cursor or reorder text on a terminal. */
private fun isUnprintable(char: Char): Boolean =
    char.isISOControl() ||
        char.isSurrogate() ||
        char.category in UNPRINTABLE ||
        (char != ' ' && char.isWhitespace())

private val UNPRINTABLE =
    setOf(
        CharCategory.FORMAT,
        CharCategory.LINE_SEPARATOR,
        CharCategory.PARAGRAPH_SEPARATOR,
        CharCategory.PRIVATE_USE,
        CharCategory.UNASSIGNED
    )

private val NOT_IN_KEY = Regex("[^A-Za-z0-9_.-]")
private val SEPARATORS = Regex("[_.-]")

// Bounds the memory of the ring; error messages of callers can be as long as their requests.
private const val MAX_VALUE_LENGTH = 1_024

// Compared without separators and case. Plain "tokens" is a count in this system and not a secret.
private val SECRET_FIELDS =
    setOf(
        "token",
        "peertoken",
        "xjacinthlinkpeertoken",
        "operatortoken",
        "admintoken",
        "bearertoken",
        "authorization",
        "password",
        "secret",
        "apikey",
        "cookie",
        "setcookie"
    )
