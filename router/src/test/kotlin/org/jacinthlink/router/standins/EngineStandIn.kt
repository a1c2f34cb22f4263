package org.jacinthlink.router.standins

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
 * Stand-in of a model engine that holds layers and streams events, and of a plain service.
 *
 * As the first of a path it answers for the whole path. [script] changes its answers.
 */
internal class EngineStandIn(
    private val loop: EventLoop,
    val instanceId: String,
    val zone: String,
    private val eventCount: Int = 5,
    private val eventMs: Long = 20
) {
    /** What a request meets. */
    sealed interface Script {
        /** A whole answer. */
        data object Serve : Script

        /** The connection ends after [events] events and a part of the next. */
        data class Cut(val events: Int) : Script

        /** No event after [events]. */
        data class Silent(val events: Int) : Script

        /** The request runs, and its answer is lost. */
        data object LoseAnswer : Script

        /** The request runs and fails. */
        data object Fail : Script

        /** The request is turned away unrun. */
        data object Full : Script

        /** An unknown order is carried out: requests are turned away unrun. */
        data object Changing : Script
    }

    /** A request that ran here. */
    class Run(val request: ServerRequest)

    @Volatile
    var script: Script = Script.Serve

    @Volatile
    var layers: LayerRange? = null

    /** Address in its entry; another than [address] if connections come through a proxy. */
    @Volatile
    var entryAddress: String? = null

    /** True while all servers of a path with this header value pass activations on. */
    @Volatile
    var passesOn: (path: String) -> Boolean = { true }

    /** Time until a report is answered. */
    @Volatile
    var reportDelayMs = 0L

    /** Highest fencing token seen. */
    @Volatile
    var token = 0L

    val runs: MutableList<Run> = java.util.concurrent.CopyOnWriteArrayList()

    /** Requests that were turned away. */
    val rejected = java.util.concurrent.atomic.AtomicInteger()

    /** Connections that callers closed before the answer had ended. */
    val cancelled = java.util.concurrent.atomic.AtomicInteger()

    private val listener =
        listen(loop, Address("127.0.0.1", 0), { WIDE_LIMITS }, ::handle)

    val address: Address get() = Address("127.0.0.1", listener.port)

    private val ownAddress: String get() = entryAddress ?: address.toString()

    /** Stops at once. */
    fun stop() = listener.stop()

    /** The entry that it keeps in the store. */
    fun entry(service: String, state: String = "ready"): String {
        val held = layers?.let { ""","layers":{"from":${it.from},"to":${it.to},"version":1}""" }
        return """{"service":"$service","address":"$ownAddress","zone":"$zone","state":"$state",
            "slots":134,"kind":"card","sequence":1,"born":1${held.orEmpty()}}"""
    }

    private fun handle(request: ServerRequest, exchange: ServerExchange) {
        when (request.path) {
            "/v1/report" -> loop.schedule(reportDelayMs) {
                exchange.respond(200, emptyList(), report().toByteArray())
            }
            "/v1/order" -> order(request, exchange)
            "/health" -> exchange.respond(200, emptyList(), ByteArray(0))
            else -> serve(request, exchange)
        }
    }

    private fun report(): String =
        buildJsonObject {
            put("busy", script == Script.Changing)
            put("kvTotal", 1_000)
            put("sequence", 1)
            put("born", 1)
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

    private fun order(request: ServerRequest, exchange: ServerExchange) {
        val body = ProtocolJson.parseToJsonElement(request.body.decodeToString()).jsonObject
        val fence = body.getValue("fencingToken").jsonPrimitive.content.toLong()
        if (fence < token) return exchange.respond(412, emptyList(), ByteArray(0))
        token = fence
        layers =
            LayerRange(
                body.getValue("from").jsonPrimitive.int,
                body.getValue("to").jsonPrimitive.int
            )
        exchange.respond(202, emptyList(), ByteArray(0))
    }

    private fun serve(request: ServerRequest, exchange: ServerExchange) {
        if (request.headers.valueOf("Expect-Instance") != instanceId) {
            return exchange.respond(421, emptyList(), ByteArray(0))
        }
        if (script == Script.Full || script == Script.Changing) {
            rejected.incrementAndGet()
            val notRun = HeaderField("Not-Executed", "1")
            val at = HeaderField("At-Server", ownAddress)
            return exchange.respond(503, listOf(notRun, at), ByteArray(0))
        }
        runs.add(Run(request))
        exchange.onClientClosed { cancelled.incrementAndGet() }
        when {
            script == Script.LoseAnswer -> exchange.abort()
            script == Script.Fail -> exchange.respond(500, headers(request), ByteArray(0))
            request.headers.valueOf("Hop-Count") != null -> stream(request, exchange)
            else -> exchange.respond(200, headers(request), "ok:$instanceId".toByteArray())
        }
    }

    private fun stream(request: ServerRequest, exchange: ServerExchange) {
        val last = request.headers.valueOf("Last-Event-Id")?.toInt() ?: 0
        exchange.startStream(200, headers(request))
        event(exchange, request.headers.valueOf("Hop-Count").orEmpty(), last + 1, sent = 0)
    }

    private fun event(exchange: ServerExchange, path: String, id: Int, sent: Int) {
        loop.schedule(eventMs) {
            val now = script
            when {
                !passesOn(path) -> loop.schedule(STALL_MS) { exchange.abort() }
                now is Script.Cut && sent == now.events -> {
                    exchange.write("id: $id\nda".toByteArray())
                    exchange.abort()
                }
                now is Script.Silent && sent == now.events -> Unit
                id > eventCount -> exchange.endStream()
                else -> {
                    exchange.write("id: $id\ndata: t$id\n\n".toByteArray())
                    event(exchange, path, id + 1, sent + 1)
                }
            }
        }
    }

    private fun headers(request: ServerRequest): List<HeaderField> =
        listOf(
            HeaderField("Attempt-Id", request.headers.valueOf("Attempt-Id").orEmpty()),
            HeaderField("Response-Seal", "seal-$instanceId")
        )

    private companion object {
        /** An engine gives a request up whose path has stood still for this time. */
        const val STALL_MS = 2_500L
    }
}
