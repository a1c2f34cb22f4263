package org.jacinthlink.transport

/** A header field as it appears in a message. */
data class HeaderField(val name: String, val value: String)

/** Value of the first field with [name], compared without regard to case, or null if none. */
fun List<HeaderField>.valueOf(name: String): String? =
    firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/**
 * Names of the fields that are not forwarded, in lower case. They apply to a single connection, or
 * the sender of each message sets them itself.
 */
val HOP_BY_HOP_FIELDS: Set<String> =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect"
    )

/**
 * The fields that may be forwarded. The fields in [HOP_BY_HOP_FIELDS] and those that the
 * `Connection` field lists are excluded.
 */
fun List<HeaderField>.endToEnd(): List<HeaderField> {
    val named =
        filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return filter { it.name.lowercase() !in HOP_BY_HOP_FIELDS && it.name.lowercase() !in named }
}
