package org.jacinthlink.transport

import java.io.ByteArrayOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val WAIT_S = 10L

/** Runs [action] on the loop and returns its result. */
internal fun <T> EventLoop.call(action: () -> T): T {
    val result = CompletableFuture<T>()
    execute { result.complete(action()) }
    return result.await()
}

internal fun <T> CompletableFuture<T>.await(): T = get(WAIT_S, TimeUnit.SECONDS)

/** Waits until [condition] holds. */
internal fun await(condition: () -> Boolean) {
    val endsAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
    while (!condition()) {
        check(System.nanoTime() < endsAtNanos) { "condition did not hold within $WAIT_S s" }
        Thread.sleep(5)
    }
}

/** An address of the loopback interface with a free port. */
internal fun freeAddress(): Address =
    ServerSocket(0).use { Address("127.0.0.1", it.localPort) }

/** Opens a plain connection and sends [text]. */
internal fun Address.connectAndSend(text: String): Socket =
    Socket(host, port).apply {
        soTimeout = 10_000
        getOutputStream().write(text.toByteArray())
    }

/** Reads until the server closes the connection. */
internal fun Socket.readAll(): String = getInputStream().readAllBytes().decodeToString()

/** Limits that are high enough for all tests that do not set lower ones. */
internal val WIDE_LIMITS = ServerLimits(16_384, 1_000_000, 10_000, 10_000)

/** Records the response to one request. */
internal class RecordingListener : ClientListener {
    val end = CompletableFuture<String>()
    private var status = 0
    private val body = StringBuilder()

    /** Status, body and how the response ended, once it has. */
    fun outcome(): String {
        val how = end.await()
        return "$status $body $how"
    }

    override fun onHead(status: Int, headers: List<HeaderField>) {
        this.status = status
    }

    override fun onBody(part: ByteArray) {
        body.append(part.decodeToString())
    }

    override fun onComplete() {
        end.complete("complete")
    }

    override fun onFailure(failure: CallFailure) {
        end.complete(failure.name)
    }
}

/** Collects the body of one response. */
internal class CollectingListener : ClientListener {
    /** The body, once the response is complete. */
    val body = CompletableFuture<ByteArray>()
    private val bytes = ByteArrayOutputStream()

    override fun onHead(status: Int, headers: List<HeaderField>) = Unit

    override fun onBody(part: ByteArray) = bytes.writeBytes(part)

    override fun onComplete() {
        body.complete(bytes.toByteArray())
    }

    override fun onFailure(failure: CallFailure) {
        body.completeExceptionally(IllegalStateException("$failure"))
    }
}
