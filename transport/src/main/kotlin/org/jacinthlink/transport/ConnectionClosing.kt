package org.jacinthlink.transport

import io.netty.channel.ChannelFuture
import io.netty.channel.socket.SocketChannel

/**
 * Closes one connection of a server without a loss of bytes: after the last byte of its answers has
 * left the process, and after the bytes that have arrived are read.
 *
 * The connection is closed for writing first. What the client sends then is read and dropped,
 * because a close with unread bytes resets the connection, and the client may lose the end of an
 * answer by that.
 *
 * @param isBusy True while a request is being read or answered.
 */
internal class ConnectionClosing(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    private val input: PacedInput,
    private val isBusy: () -> Boolean
) {
    private var unsentCount = 0
    private var progressBytes = -1L
    private var isChecking = false
    private var closedAtMs: Long? = null

    /** True if no further answer can be sent. */
    val isOutputClosed: Boolean get() = closedAtMs != null

    /** True if the last byte of an answer has not left the process. */
    val hasUnsentAnswer: Boolean get() = unsentCount > 0

    /**
     * Waits until an answer has been [written], which then closes the connection unless it
     * [staysOpen]. Calls [onSent] before that.
     */
    fun await(written: ChannelFuture, staysOpen: Boolean, onSent: () -> Unit) {
        unsentCount++
        written.addListener {
            unsentCount--
            onSent()
            when {
                // Its client would wait for the rest.
                !it.isSuccess -> channel.close()
                !staysOpen -> closeOutput()
            }
        }
    }

    /** True if bytes of an answer have left the process since the last call. */
    fun hasProgressed(): Boolean {
        val buffer = channel.unsafe().outboundBuffer() ?: return false
        val before = progressBytes
        progressBytes = buffer.totalPendingWriteBytes() - buffer.currentProgress()
        return progressBytes != before
    }

    /** Closes the connection, unless bytes that have arrived by now make it busy. */
    fun closeIfIdle() {
        if (isChecking) return
        isChecking = true
        loop.executeAfterRead {
            isChecking = false
            if (!isBusy()) closeOutput()
        }
    }

    /** True if the client has had enough time for the end of the connection. */
    fun isOver(nowMs: Long): Boolean = closedAtMs?.let { nowMs - it > LINGER_MS } == true

    private fun closeOutput() {
        if (closedAtMs != null || !channel.isActive) return
        closedAtMs = monotonicMs()
        input.isWanted = true
        channel.shutdownOutput()
    }

    private companion object {
        /** Time for the client to read the end of an answer and to close its side. */
        const val LINGER_MS = 1_000L
    }
}
