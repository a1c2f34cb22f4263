package org.jacinthlink.runtime.http

import java.io.IOException
import okhttp3.Response
import okio.BufferedSource

/*
 * A faulty server may send bytes that are no response, without end. What a caller keeps of a
 * response is therefore bounded.
 */

/** Reads the whole body as text. Fails if it is longer than [MAX_BODY_BYTES]. */
internal fun Response.boundedText(): String {
    val body = body!!
    if (body.source().request(MAX_BODY_BYTES + 1)) throw IOException("response too large")
    return body.string()
}

/** Reads a line, or returns null at the end. Fails if it is longer than [MAX_LINE_BYTES]. */
internal fun BufferedSource.boundedLine(): String? {
    val hasLineEnd = indexOf(LINE_FEED, 0, MAX_LINE_BYTES + 1) >= 0
    if (!hasLineEnd && request(MAX_LINE_BYTES + 1)) throw IOException("line too long")
    return readUtf8Line()
}

private const val LINE_FEED = '\n'.code.toByte()

/** Pages of a key-value service are the longest bodies, at about 1 MB. */
private const val MAX_BODY_BYTES = 4L * 1_024 * 1_024

/** A line holds one event of a stream, or the activations of one step. */
private const val MAX_LINE_BYTES = 4L * 1_024 * 1_024
