package org.jacinthlink.transport

/** A header field as it appears in a message. */
data class HeaderField(val name: String, val value: String)

/** Value of the first field named [name], whose case is ignored, or null. */
fun List<HeaderField>.valueOf(name: String): String? =
    firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Names of the fields that apply to a single connection and are not forwarded, in lower case. */
val CONNECTION_FIELDS: Set<String> =
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

/** The fields that may be forwarded: neither in [CONNECTION_FIELDS] nor named by `Connection`. */
fun List<HeaderField>.endToEnd(): List<HeaderField> {
    val named =
        filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return filter { it.name.lowercase() !in CONNECTION_FIELDS && it.name.lowercase() !in named }
}
