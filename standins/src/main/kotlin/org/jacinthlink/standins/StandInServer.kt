package org.jacinthlink.standins

import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.HttpServer
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.jsonResponse
import org.jacinthlink.runtime.http.startHttpServer

/** Body of `POST /control/crash`, which every stand-in serves. */
@Serializable
internal data class CrashOrder(val downMs: Long? = null)

/** HTTP server of a stand-in. It can drop all connections and return on the same port. */
internal class StandInServer(
    private val host: String,
    requestedPort: Int,
    workerThreads: Int,
    private val onCrash: () -> Unit = {},
    private val handler: HttpHandler
) : RunningProcess {
    private val limits = ServerLimits(
        workerThreads = workerThreads,
        maxBodyBytes = MAX_BODY_BYTES,
        maxConnections = MAX_CONNECTIONS
    )
    private val stopped = CountDownLatch(1)
    private val timer = daemonTimer("stand-in-timer")

    // Set at once by a crash, as calls may still arrive while the server closes.
    @Volatile private var isDown = false
    private var server: HttpServer? = startHttpServer(host, requestedPort, limits, ::serve)
    private val port = server!!.port

    override val address: String = "$host:$port"

    override fun drain() = stop()

    override fun awaitStopped() = stopped.await()

    override fun stop() {
        stopped.countDown()
        timer.shutdownNow()
        closeServer()
    }

    /**
     * Drops all connections and refuses new ones for [downMs]. With null the process exits.
     *
     * Returns at once, because the server waits for its handlers when it stops.
     */
    fun crash(downMs: Long?) {
        isDown = true
        if (downMs == null) Runtime.getRuntime().halt(CRASH_EXIT_STATUS)
        thread(isDaemon = true, name = "stand-in-crash") {
            closeServer()
            onCrash()
            Thread.sleep(downMs!!)
            reopen()
        }
    }

    /** Runs [action] after [delayMs]. */
    fun later(delayMs: Long, action: () -> Unit) {
        timer.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    /** The answer [response], sent [delayMs] from now. It occupies no thread meanwhile. */
    fun delayed(response: Response, delayMs: Long): Response {
        if (delayMs <= 0) return response
        val text = response.bodyString()
        return response.body(
            PushBody { sink ->
                later(delayMs) {
                    sink.send(text)
                    sink.close()
                }
            }
        )
    }

    private fun serve(request: Request): Response =
        try {
            when {
                isDown -> silentResponse()
                request.method == Method.POST && request.uri.path == "/control/crash" -> {
                    crash(request.decode(CrashOrder.serializer()).downMs)
                    silentResponse()
                }
                else -> handler(request)
            }
        } catch (e: SerializationException) {
            Response(Status.BAD_REQUEST).body("unreadable request: ${e.message}")
        }

    @Synchronized
    private fun closeServer() {
        server?.stop()
        server = null
    }

    // Another process may hold the port for a moment, so binding is tried for some time.
    private fun reopen() {
        repeat(REOPEN_ATTEMPTS) {
            if (tryReopen()) return
            Thread.sleep(REOPEN_PAUSE_MS)
        }
    }

    @Synchronized
    private fun tryReopen(): Boolean {
        if (stopped.count == 0L || server != null) return true
        isDown = false
        server = runCatching { startHttpServer(host, port, limits, ::serve) }.getOrNull()
        return server != null
    }

    private companion object {
        // In an outage, calls without an answer add up.
        const val MAX_CONNECTIONS = 20_000
        const val MAX_BODY_BYTES = 16_777_216L
        const val CRASH_EXIT_STATUS = 70
        const val REOPEN_ATTEMPTS = 100
        const val REOPEN_PAUSE_MS = 50L
    }
}

internal fun daemonTimer(name: String): ScheduledExecutorService =
    Executors.newScheduledThreadPool(1) { task ->
        Thread(task, name).apply { isDaemon = true }
    }

/**
 * An answer that never comes, as if it was lost on the way. The connection is closed in the end,
 * because the server does not notice that a caller gave up while it writes nothing.
 */
internal fun silentResponse(): Response =
    Response(Status.OK).body(
        PushBody { sink ->
            SilenceTimer.schedule(sink::abort, MAX_SILENCE_SECONDS, TimeUnit.SECONDS)
        }
    )

private val SilenceTimer = daemonTimer("stand-in-silence")

// Longer than any timeout of a caller.
private const val MAX_SILENCE_SECONDS = 130L

internal fun <T> Request.decode(serializer: KSerializer<T>): T =
    ProtocolJson.decodeFromString(serializer, bodyString().ifEmpty { "{}" })

internal fun <T> okJson(serializer: KSerializer<T>, value: T): Response =
    jsonResponse(Status.OK, ProtocolJson.encodeToString(serializer, value))
