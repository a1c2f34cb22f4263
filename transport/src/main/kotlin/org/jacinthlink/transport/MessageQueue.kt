package org.jacinthlink.transport

import io.netty.buffer.ByteBufHolder
import io.netty.util.ReferenceCountUtil

/** Parts of requests that wait for the answer to the request before them. */
internal class MessageQueue(private val memory: RequestMemory) {
    private val messages = ArrayDeque<Any>()
    private var bytes = 0L

    val isEmpty: Boolean get() = messages.isEmpty()

    /** True if no more should be read until the answer has ended. */
    val isFull: Boolean get() = messages.size >= MAX_MESSAGES || bytes >= MAX_BYTES

    /** True if the memory of the process admits no more. */
    val isMemoryFull: Boolean get() = !memory.admits(0, bytes)

    /** Adds [msg], which the queue then owns. */
    fun add(msg: Any) {
        messages.addLast(msg)
        count(byteCount(msg))
    }

    /** Removes the first message, which the caller then owns. */
    fun take(): Any = messages.removeFirst().also { count(-byteCount(it)) }

    /** Releases all messages. */
    fun clear() {
        while (!isEmpty) ReferenceCountUtil.release(take())
    }

    private fun byteCount(msg: Any): Long =
        (msg as? ByteBufHolder)?.content()?.readableBytes()?.toLong() ?: 0

    private fun count(added: Long) {
        bytes += added
        memory.addRequest(added)
    }

    private companion object {
        const val MAX_MESSAGES = 64
        const val MAX_BYTES = 65_536L
    }
}
