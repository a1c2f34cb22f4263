package org.jacinthlink.standins

import java.io.IOException
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Copies bytes of one connection in one direction. A reader and a writer share a queue. */
internal class ProxyPipe(
    private val connection: ProxyConnection,
    private val link: ProxyLink,
    private val direction: ProxyDirection,
    private val from: Socket,
    private val to: Socket
) {
    private val queue = LinkedBlockingQueue<Chunk>(MAX_CHUNKS)
    private var countedDrop: ProxyDrop? = null
    private var countedBytes = 0L
    private var isLossy = false

    @Volatile private var isAborted = false

    fun start() {
        thread(isDaemon = true, name = "proxy-read-$direction") { readAll() }
        thread(isDaemon = true, name = "proxy-write-$direction") {
            try {
                writeAll()
            } finally {
                connection.pipeEnded()
            }
        }
    }

    /** Closes the receiver's socket once all bytes on the way are delivered. */
    fun abortAfterQueue() {
        isAborted = true
    }

    private fun readAll() {
        val buffer = ByteArray(BUFFER_BYTES)
        var sizeBytes = readOnce(buffer)
        while (sizeBytes >= 0) {
            val kept = if (connection.isSilenced) 0 else keptBytes(sizeBytes)
            if (kept > 0) put(Chunk(buffer.copyOf(kept), System.nanoTime()))
            sizeBytes = readOnce(buffer)
        }
        put(Chunk(ByteArray(0), System.nanoTime()))
    }

    private fun readOnce(buffer: ByteArray): Int =
        try {
            from.getInputStream().read(buffer)
        } catch (_: IOException) {
            END
        }

    private fun keptBytes(sizeBytes: Int): Int {
        val drop = link.faults.drop?.takeIf { it.direction == direction }
        if (isLossy) return 0
        if (drop !== countedDrop) {
            countedDrop = drop
            countedBytes = 0
        }
        if (drop == null) return sizeBytes
        val kept = (drop.afterBytes - countedBytes).coerceIn(0, sizeBytes.toLong()).toInt()
        countedBytes += sizeBytes
        isLossy = kept < sizeBytes
        return kept
    }

    private fun put(chunk: Chunk) {
        while (!connection.isCut) {
            if (queue.offer(chunk, POLL_MS, TimeUnit.MILLISECONDS)) return
        }
    }

    private fun writeAll() {
        while (!connection.isCut) {
            val chunk = queue.poll(POLL_MS, TimeUnit.MILLISECONDS)
            if (chunk == null && isAborted) {
                reset(to)
                return
            }
            if (chunk != null && !deliver(chunk)) return
        }
    }

    /** Returns false when the pipe has ended. */
    private fun deliver(chunk: Chunk): Boolean {
        link.awaitDue(direction, chunk.readNs, chunk.bytes.size) { connection.isCut }
        if (connection.isCut) return false
        if (chunk.bytes.isEmpty()) {
            if (!connection.isSilenced && !isLossy) shutDownReceiver()
            return false
        }
        if (connection.isSilenced) return true
        return try {
            to.getOutputStream().write(chunk.bytes)
            true
        } catch (_: IOException) {
            connection.receiverGone(this)
            false
        }
    }

    private fun shutDownReceiver() {
        try {
            to.shutdownOutput()
        } catch (_: IOException) {
            connection.receiverGone(this)
        }
    }

    private class Chunk(val bytes: ByteArray, val readNs: Long)

    private companion object {
        const val BUFFER_BYTES = 16_384
        const val MAX_CHUNKS = 256
        const val POLL_MS = 100L
        const val END = -1
    }
}
