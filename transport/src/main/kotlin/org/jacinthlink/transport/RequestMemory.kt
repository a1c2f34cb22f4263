package org.jacinthlink.transport

import io.netty.buffer.ByteBuf

/**
 * How many bytes of requests and unsent answers may be in memory at the same time.
 *
 * Bodies of up to [shortBodyBytes] may fill memory up to [totalBytes], longer ones up to
 * [longBytes] only.
 *
 * Load pattern: a burst of long bodies fills memory while short requests arrive beside it.
 */
internal data class MemoryBounds(
    val totalBytes: Long,
    val longBytes: Long,
    val shortBodyBytes: Long
) {
    /** True if [addedBytes] more may be kept of a body that then has [bodyBytes]. */
    fun admits(usedBytes: Long, addedBytes: Long, bodyBytes: Long): Boolean =
        addedBytes <= (if (bodyBytes <= shortBodyBytes) totalBytes else longBytes) - usedBytes
}

/** Bounds for a process with a heap of [heapBytes]. */
internal fun memoryBounds(heapBytes: Long): MemoryBounds {
    val totalBytes = heapBytes / HEAP_PARTS
    return MemoryBounds(totalBytes, totalBytes - totalBytes / SHORT_PARTS, SHORT_BODY_BYTES)
}

/**
 * Counts the bytes of all requests from their arrival until their answer, and those of all answers
 * until their callers have taken them. It must be used on the event loop only.
 */
class RequestMemory internal constructor(private val bounds: MemoryBounds) {
    /** Bytes of requests that are being read, wait or are being answered. */
    var requestBytes = 0L
        private set

    /** Bytes of answers that their callers have not taken yet. */
    var answerBytes = 0L
        private set

    /** True if [addedBytes] more may be kept of a body that then has [bodyBytes]. */
    internal fun admits(addedBytes: Long, bodyBytes: Long): Boolean =
        bounds.admits(requestBytes + answerBytes, addedBytes, bodyBytes)

    internal fun addRequest(bytes: Long) {
        requestBytes += bytes
    }

    internal fun addAnswer(bytes: Long) {
        answerBytes += bytes
    }
}

/** Memory for the requests of a process whose heap has at most [heapBytes]. */
fun requestMemory(heapBytes: Long = Runtime.getRuntime().maxMemory()): RequestMemory =
    RequestMemory(memoryBounds(heapBytes))

/** The body of one request, which is counted by [memory] until [release]. */
internal class RequestBody(private val memory: RequestMemory) {
    private val blocks = ArrayList<ByteArray>()
    private var lastBlockBytes = 0
    private var reservedBytes = 0L
    private var expectedBytes = Long.MAX_VALUE

    /** Number of bytes that have been added. */
    var size = 0
        private set

    /** Announces that the body will have [bytes]. */
    fun expect(bytes: Long) {
        expectedBytes = bytes
    }

    /** Adds the bytes of [part]. Returns false if there is no memory for them. */
    fun append(part: ByteBuf): Boolean {
        while (part.isReadable) {
            if (lastBlockBytes == (blocks.lastOrNull()?.size ?: 0) && !addBlock(part)) return false
            val block = blocks.last()
            val count = minOf(part.readableBytes(), block.size - lastBlockBytes)
            part.readBytes(block, lastBlockBytes, count)
            lastBlockBytes += count
            size += count
        }
        return true
    }

    /** The whole body, which stays counted. The parts of it are given up. */
    fun take(): ByteArray {
        val whole = if (blocks.size == 1 && size == blocks[0].size) blocks[0] else joined()
        blocks.clear()
        lastBlockBytes = 0
        reserve(size - reservedBytes)
        return whole
    }

    /** Stops counting the body, and begins a new one. */
    fun release() {
        blocks.clear()
        lastBlockBytes = 0
        size = 0
        expectedBytes = Long.MAX_VALUE
        reserve(-reservedBytes)
    }

    private fun addBlock(part: ByteBuf): Boolean {
        val usualBytes = size.coerceIn(LEAST_BLOCK_BYTES, MOST_BLOCK_BYTES).toLong()
        val bytes = maxOf(part.readableBytes(), minOf(usualBytes, expectedBytes - size).toInt())
        if (!memory.admits(bytes.toLong(), size.toLong() + bytes)) return false
        blocks.add(ByteArray(bytes))
        lastBlockBytes = 0
        reserve(bytes.toLong())
        return true
    }

    private fun joined(): ByteArray {
        val whole = ByteArray(size)
        var offset = 0
        blocks.forEach { block ->
            val count = minOf(block.size, size - offset)
            block.copyInto(whole, offset, 0, count)
            offset += count
        }
        return whole
    }

    private fun reserve(bytes: Long) {
        memory.addRequest(bytes)
        reservedBytes += bytes
    }

    private companion object {
        const val LEAST_BLOCK_BYTES = 1_024
        const val MOST_BLOCK_BYTES = 16_384
    }
}

/** Answers of servers take up to a fifth, and the rest of a router about two fifths. */
private const val HEAP_PARTS = 3L
private const val SHORT_PARTS = 8L
private const val SHORT_BODY_BYTES = 16_384L
