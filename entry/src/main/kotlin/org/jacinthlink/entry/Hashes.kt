package org.jacinthlink.entry

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 of [text] in hexadecimal digits. */
internal fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
