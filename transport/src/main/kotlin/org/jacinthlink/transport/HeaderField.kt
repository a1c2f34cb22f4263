package org.jacinthlink.transport

/** One header field as it stands in a message. */
data class HeaderField(val name: String, val value: String)

/** Value of the first field called [name] in any case, or null. */
fun List<HeaderField>.valueOf(name: String): String? =
    firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Fields that concern a single connection and are not forwarded, in lower case. */
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

/** The fields that may be forwarded: neither hop-by-hop nor named by `Connection`. */
fun List<HeaderField>.endToEnd(): List<HeaderField> {
    val named =
        filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return filter { it.name.lowercase() !in CONNECTION_FIELDS && it.name.lowercase() !in named }
}
