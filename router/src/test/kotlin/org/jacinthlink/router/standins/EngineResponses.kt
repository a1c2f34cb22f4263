package org.jacinthlink.router.standins

import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerRequest
import org.jacinthlink.transport.valueOf

/** Parts of the prompt without the last one, which belongs to the request itself. */
internal fun sharedParts(request: ServerRequest): List<String> =
    request.headers.valueOf("Prompt-Prefix").orEmpty()
        .split(',').map { it.substringBefore(':') }.dropLast(1)

/** The field by which a response names its request. */
internal fun echoedId(request: ServerRequest): List<HeaderField> =
    request.headers.filter { it.name == "Attempt-Id" }

/** Starts a stream that sends a byte of its first event now and then, until the client closes. */
internal fun ServerExchange.drip(loop: EventLoop, headers: List<HeaderField>) {
    startStream(200, headers)
    fun next() {
        if (!isOpen) return
        write(":".toByteArray())
        loop.schedule(50) { next() }
    }
    next()
}

/** Starts a body that goes on until the client closes. */
internal fun ServerExchange.writeEndless(loop: EventLoop, headers: List<HeaderField>) {
    startStream(200, headers)
    fun next() {
        if (!isOpen) return
        if (isWritable) write(ByteArray(16_384) { 'x'.code.toByte() })
        loop.schedule(1) { next() }
    }
    next()
}

/** A time in which a stand-in does nothing, as if its process were stopped and continued. */
internal class SilentPeriod(private val loop: EventLoop) {
    @Volatile
    private var endsAtNanos = System.nanoTime()

    /** Begins a period of [durationMs], in place of one that has not ended. */
    fun begin(durationMs: Long) {
        endsAtNanos = System.nanoTime() + durationMs * NANOS_PER_MS
    }

    /** Runs [action] now, or when the period has ended. */
    fun runAfter(action: () -> Unit) {
        val leftMs = (endsAtNanos - System.nanoTime()) / NANOS_PER_MS
        if (leftMs > 0) loop.schedule(leftMs) { runAfter(action) } else action()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
