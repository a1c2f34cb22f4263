package org.jacinthlink.runtime.http

import io.undertow.io.IoCallback
import io.undertow.io.Sender
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import org.xnio.IoUtils

/**
 * Sink over an Undertow exchange.
 *
 * The queue belongs to the I/O thread of the connection, so writes never overlap.
 */
internal class UndertowPushSink(private val exchange: HttpServerExchange) :
    PushSink,
    IoCallback {
    private val queue = ArrayDeque<ByteBuffer>()
    private var writing = false
    private var closing = false
    private val closed = AtomicBoolean(false)
    private val completed = AtomicBoolean(false)
    private val disconnectListener = AtomicReference<(() -> Unit)?>(null)

    init {
        exchange.connection.addCloseListener { disconnected() }
    }

    override fun send(chunk: String): Boolean {
        if (closed.get()) return false
        val buffer = ByteBuffer.wrap(chunk.toByteArray())
        return onIoThread {
            queue.addLast(buffer)
            writeNext()
        }
    }

    override fun close() {
        onIoThread {
            closing = true
            writeNext()
        }
    }

    override fun abort() {
        onIoThread {
            closed.set(true)
            completed.set(true)
            IoUtils.safeClose(exchange.connection)
            exchange.endExchange()
        }
    }

    override fun onDisconnect(listener: () -> Unit) {
        disconnectListener.set(listener)
        if (closed.get() && !completed.get()) fireDisconnect()
    }

    override fun onComplete(exchange: HttpServerExchange, sender: Sender) {
        onIoThread {
            writing = false
            writeNext()
        }
    }

    override fun onException(
        exchange: HttpServerExchange,
        sender: Sender,
        exception: IOException
    ) {
        disconnected()
        exchange.endExchange()
    }

    private fun onIoThread(action: () -> Unit): Boolean =
        try {
            exchange.ioThread.execute(action)
            true
        } catch (_: java.util.concurrent.RejectedExecutionException) {
            disconnected()
            false
        }

    private fun writeNext() {
        if (writing || closed.get()) return
        if (queue.isNotEmpty()) {
            writing = true
            exchange.responseSender.send(takeAll(), this)
        } else if (closing && completed.compareAndSet(false, true)) {
            closed.set(true)
            exchange.endExchange()
        }
    }

    private fun takeAll(): ByteBuffer {
        if (queue.size == 1) return queue.removeFirst()
        val merged = ByteBuffer.allocate(queue.sumOf { it.remaining() })
        while (queue.isNotEmpty()) merged.put(queue.removeFirst())
        return merged.flip()
    }

    private fun disconnected() {
        if (closed.compareAndSet(false, true) && !completed.get()) fireDisconnect()
    }

    private fun fireDisconnect() {
        disconnectListener.getAndSet(null)?.invoke()
    }
}
