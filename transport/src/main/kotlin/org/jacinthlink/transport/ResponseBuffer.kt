package org.jacinthlink.transport

import java.io.ByteArrayOutputStream

/**
 * Memory for response bodies that are read completely before they are used.
 *
 * A faulty server may send bytes without end. Each body and all bodies together are therefore
 * limited, so that such servers cannot use up the memory of the process.
 */
class ResponseMemory internal constructor(
    private val maxBytes: Int,
    private val maxTotalBytes: Int
) {
    /** Bytes of all bodies that are being read. */
    var usedBytes = 0
        private set

    /** Creates a buffer for one body, which takes [maxBytes] at most. */
    fun buffer(maxBytes: Int = this.maxBytes): ResponseBuffer =
        ResponseBuffer(this, minOf(maxBytes, this.maxBytes))

    internal fun tryReserve(bytes: Int): Boolean {
        if (usedBytes + bytes > maxTotalBytes) return false
        usedBytes += bytes
        return true
    }

    internal fun release(bytes: Int) {
        usedBytes -= bytes
    }
}

/** The part of a response body that has arrived. */
class ResponseBuffer internal constructor(
    private val memory: ResponseMemory,
    private val maxBytes: Int
) {
    private val content = ByteArrayOutputStream()
    private var reservedBytes = 0

    /** Adds [part]. Returns false, and adds nothing, if the body is too large to be buffered. */
    fun append(part: ByteArray): Boolean {
        val isTooLong = reservedBytes + part.size > maxBytes
        if (isTooLong || !memory.tryReserve(part.size)) return false
        reservedBytes += part.size
        content.write(part)
        return true
    }

    /** The bytes that have been added. */
    fun toByteArray(): ByteArray = content.toByteArray()

    /** The bytes that have been added, as text. */
    fun text(): String = content.toString(Charsets.UTF_8)

    /** Stops counting the buffer against the limits, because it will not be used any more. */
    fun release() {
        memory.release(reservedBytes)
        reservedBytes = 0
    }
}

/** Creates memory for bodies of at most [maxBytes] each and [maxTotalBytes] at the same time. */
fun responseMemory(
    maxBytes: Int = MAX_BODY_BYTES,
    maxTotalBytes: Int = MAX_TOTAL_BYTES
): ResponseMemory = ResponseMemory(maxBytes, maxTotalBytes)

/** A page of the store is at most about 1 MB, which takes a third more in base64. */
private const val MAX_BODY_BYTES = 4 * 1_024 * 1_024

/** A fifth of the heap of a router with the options of the deploy file. */
private const val MAX_TOTAL_BYTES = 12 * 1_024 * 1_024
