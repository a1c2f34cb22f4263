package org.jacinthlink.router.standins

import kotlin.concurrent.thread
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerRequest
import org.jacinthlink.transport.listen
import org.jacinthlink.transport.valueOf

/**
 * Stand-in of a backend server: of a model engine that holds layers and streams events, or of a
 * server of a plain service.
 *
 * The router sends a request to the first engine of a path; this stand-in generates all events of
 * the stream itself and does not call the other engines of the path. [script] changes how it
 * responds to requests.
 */
internal class EngineStandIn(
    private val loop: EventLoop,
    val instanceId: String,
    val zone: String,
    private val eventCount: Int = 5,
    private val eventIntervalMs: Long = 20
) {
    /** How the stand-in responds to a request. */
    sealed interface Script {
        /** The request runs, and its response is complete. */
        data object Serve : Script

        /** The connection is closed after [events] complete events and a part of the next one. */
        data class Cut(val events: Int) : Script

        /** The stream stalls: its connection stays open without a further event after [events]. */
        data class Stalled(val events: Int) : Script

        /** The request runs, and the connection is closed without a response. */
        data object LoseResponse : Script

        /** The request runs and fails with status 500 and the text [FAILURE]. */
        data object Fail : Script

        /** The request is rejected with status 503 and does not run. */
        data object Rejecting : Script

        /** As [Rejecting], and the server wants no requests for [retryAfterS]. */
        data class Pausing(val retryAfterS: Double) : Script

        /** The stream sends a byte of its first event now and then, which is never complete. */
        data object Dripping : Script

        /** The request runs, and its response is a body without end. */
        data object EndlessBody : Script

        /**
         * The engine carries out an order that the router does not track: requests are rejected as
         * by [Rejecting], and the engine reports that it is changing its layers.
         */
        data object ChangingLayers : Script
    }

    /** A request that this server has run. */
    class Run(val request: ServerRequest)

    @Volatile
    var script: Script = Script.Serve

    @Volatile
    var layers: LayerRange? = null

    /** Address in the entry in the store if connections pass through a proxy; else [address]. */
    @Volatile
    var entryAddress: String? = null

    /**
     * Returns whether all servers of a path forward activations. The path is given as in the header
     * `Hop-Count`.
     */
    @Volatile
    var forwardsActivations: (path: String) -> Boolean = { true }

    /** Delay of the response to a report request. */
    @Volatile
    var reportDelayMs = 0L

    private val silence = SilentPeriod(loop)

    /** True if all responses announce that the server is draining. */
    @Volatile
    var announcesDraining = false

    /** Requests a second that the server names in all responses, or null if it names none. */
    @Volatile
    var rateLimit: Double? = null

    /** Time for which a plain service works on a request. */
    @Volatile
    var workMs = 0L

    /** Part of a prompt that makes this engine crash when it begins to answer, or null. */
    @Volatile
    var deadlyPart: String? = null

    /** Called when the engine has restarted after a crash. */
    @Volatile
    var onRestarted: () -> Unit = {}

    /** Number of crashes. */
    val crashCount = java.util.concurrent.atomic.AtomicInteger()

    @Volatile
    private var bornAtMs = 1L

    /** Highest fencing token of the orders received so far. */
    @Volatile
    var highestToken = 0L

    val runs: MutableList<Run> = java.util.concurrent.CopyOnWriteArrayList()

    /** Number of requests that were rejected and did not run. */
    val rejectedCount = java.util.concurrent.atomic.AtomicInteger()

    /** Number of connections that clients closed before the response was complete. */
    val cancelledCount = java.util.concurrent.atomic.AtomicInteger()

    private var listener = listen(loop, Address("127.0.0.1", 0), { WIDE_LIMITS }, ::handle)

    val address = Address("127.0.0.1", listener.port)

    private val ownAddress: String get() = entryAddress ?: address.toString()

    /** Closes the listener and all connections at once. */
    fun stop() = listener.stop()

    /** Answers nothing for [durationMs], neither requests nor probes, and then goes on. */
    fun fallSilent(durationMs: Long) = silence.begin(durationMs)

    /** Entry of this server in the store, as JSON text. */
    fun entry(service: String, state: String = "ready"): String {
        val held = layers?.let { ""","layers":{"from":${it.from},"to":${it.to},"version":1}""" }
        return """{"service":"$service","address":"$ownAddress","zone":"$zone","state":"$state",
            "slots":134,"kind":"card","sequence":1,"born":$bornAtMs${held.orEmpty()}}"""
    }

    /** Begins a new life at the same address, as a server that takes the place of this one. */
    fun beginAnew() {
        layers = null
        bornAtMs++
    }

    private fun handle(request: ServerRequest, exchange: ServerExchange) =
        silence.runAfter { answer(request, exchange) }

    private fun answer(request: ServerRequest, exchange: ServerExchange) {
        when (request.path) {
            "/v1/report" -> loop.schedule(reportDelayMs) {
                exchange.respond(200, notices(), report().toByteArray())
            }
            "/v1/order" -> handleOrder(request, exchange)
            "/health" -> exchange.respond(200, instance() + notices(), ByteArray(0))
            else -> serve(request, exchange)
        }
    }

    private fun report(): String =
        buildJsonObject {
            put("busy", script == Script.ChangingLayers)
            put("kvTotal", 1_000)
            put("sequence", 1)
            put("born", bornAtMs)
            layers?.let {
                put(
                    "layers",
                    buildJsonObject {
                        put("from", it.from)
                        put("to", it.to)
                    }
                )
            }
        }.toString()

    private fun handleOrder(request: ServerRequest, exchange: ServerExchange) {
        val body = ProtocolJson.parseToJsonElement(request.body.decodeToString()).jsonObject
        val receivedToken = body.getValue("fencingToken").jsonPrimitive.content.toLong()
        if (receivedToken < highestToken) return exchange.respond(412, emptyList(), ByteArray(0))
        highestToken = receivedToken
        layers =
            LayerRange(
                body.getValue("from").jsonPrimitive.int,
                body.getValue("to").jsonPrimitive.int
            )
        exchange.respond(202, emptyList(), ByteArray(0))
    }

    private fun serve(request: ServerRequest, exchange: ServerExchange) {
        if (request.headers.valueOf("Expect-Instance") != instanceId) {
            return exchange.respond(421, echoedId(request), ByteArray(0))
        }
        val now = script
        if (now == Script.Rejecting || now == Script.ChangingLayers || now is Script.Pausing) {
            return reject(request, exchange, (now as? Script.Pausing)?.retryAfterS)
        }
        runs.add(Run(request))
        exchange.onClientClosed { cancelledCount.incrementAndGet() }
        when {
            deadlyPart in sharedParts(request) -> crashLater()
            script == Script.LoseResponse -> exchange.abort()
            script == Script.EndlessBody -> exchange.writeEndless(loop, headers(request))
            script == Script.Dripping -> exchange.drip(loop, headers(request))
            script == Script.Fail -> exchange.respond(500, headers(request), FAILURE.toByteArray())
            request.headers.valueOf("Hop-Count") != null -> stream(request, exchange)
            else -> loop.schedule(workMs) {
                exchange.respond(200, headers(request), "ok:$instanceId".toByteArray())
            }
        }
    }

    private fun crashLater() {
        loop.schedule(eventIntervalMs) {
            crashCount.incrementAndGet()
            listener.stop()
            beginAnew()
            thread { restart() }
        }
    }

    private fun restart() {
        Thread.sleep(DOWN_MS)
        listener = listen(loop, address, { WIDE_LIMITS }, ::handle)
        onRestarted()
    }

    private fun reject(request: ServerRequest, exchange: ServerExchange, retryAfterS: Double?) {
        rejectedCount.incrementAndGet()
        val notRun = HeaderField("Not-Executed", "1")
        val at = HeaderField("At-Server", ownAddress)
        val retryAfter = retryAfterS?.let { HeaderField("Retry-After", "$it") }
        val headers = echoedId(request) + listOfNotNull(notRun, at, retryAfter)
        exchange.respond(503, headers, ByteArray(0))
    }

    private fun stream(request: ServerRequest, exchange: ServerExchange) {
        val last = request.headers.valueOf("Last-Event-Id")?.toIntOrNull() ?: 0
        exchange.startStream(200, headers(request))
        sendEvents(exchange, request.headers.valueOf("Hop-Count").orEmpty(), last + 1, sent = 0)
    }

    private fun sendEvents(exchange: ServerExchange, path: String, id: Int, sent: Int) {
        loop.schedule(eventIntervalMs) { silence.runAfter { sendEvent(exchange, path, id, sent) } }
    }

    private fun sendEvent(exchange: ServerExchange, path: String, id: Int, sent: Int) {
        val now = script
        when {
            !forwardsActivations(path) -> loop.schedule(STALL_TIMEOUT_MS) { exchange.abort() }
            now is Script.Cut && sent == now.events -> {
                exchange.write("id: $id\nda".toByteArray())
                exchange.abort()
            }
            now is Script.Stalled && sent == now.events -> Unit
            id > eventCount -> exchange.endStream()
            else -> {
                exchange.write("id: $id\ndata: t$id\n\n".toByteArray())
                sendEvents(exchange, path, id + 1, sent + 1)
            }
        }
    }

    private fun headers(request: ServerRequest): List<HeaderField> =
        echoedId(request) + HeaderField("Response-Seal", "seal-$instanceId") + notices()

    private fun instance() = listOf(HeaderField("Instance", instanceId))

    private fun notices(): List<HeaderField> =
        listOfNotNull(
            if (announcesDraining) HeaderField("Server-Leaving", "1") else null,
            rateLimit?.let { HeaderField("Server-Limit", "$it") }
        )

    companion object {
        /** Body of the response to a request that fails. */
        const val FAILURE = "the engine has failed"

        /** An engine aborts the stream of a path that has been stalled for this time. */
        private const val STALL_TIMEOUT_MS = 2_500L

        /** An engine that has crashed is back after this time. */
        private const val DOWN_MS = 800L
    }
}
