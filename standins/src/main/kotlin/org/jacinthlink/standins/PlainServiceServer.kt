package org.jacinthlink.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.runtime.http.jsonResponse

internal class PlainServiceServer(private val settings: PlainServiceSettings) :
    PlainServiceStandIn {
    private val faults = AtomicReference(settings.faults)
    private val counts = ConcurrentHashMap<String, Int>()
    private val records = ConcurrentHashMap<String, Record>()
    private val lastId = AtomicLong()
    private val server: StandInServer =
        StandInServer(settings.host, settings.port, WORKERS, handler = handler())

    override val address: String get() = server.address
    override val executions: Map<String, Int> get() = counts.toSortedMap()

    override fun setFaults(faults: PlainServiceFaults) = this.faults.set(faults)

    override fun crash(downMs: Long) = server.crash(downMs)

    override fun drain() = stop()

    override fun awaitStopped() = server.awaitStopped()

    override fun stop() = server.stop()

    private fun handler() =
        routes(
            "/control/executions" bind Method.GET to { _: Request ->
                okJson(MapSerializer(String.serializer(), Int.serializer()), executions)
            },
            "/control" bind Method.GET to { _: Request ->
                okJson(PlainServiceFaults.serializer(), faults.get())
            },
            "/control" bind Method.POST to { request: Request ->
                setFaults(request.decode(PlainServiceFaults.serializer()))
                okJson(PlainServiceFaults.serializer(), faults.get())
            },
            "/deliveries/{id}" bind Method.GET to { request: Request ->
                val id = request.path("id").orEmpty()
                answer(okJson(Record.serializer(), Record(id, "deliveries", id, "on its way")))
            },
            "/{collection}" bind Method.POST to ::create,
            "/{collection}/{id}" bind Method.GET to ::find
        )

    private fun create(request: Request): Response {
        val collection = request.path("collection").orEmpty()
        if (collection !in settings.collections) return Response(Status.NOT_FOUND)
        val reference =
            reference(request) ?: return Response(Status.BAD_REQUEST).body("no reference")
        val before = faults.getAndUpdate(::afterPost)
        if (before.crashBefore > 0) return crashNow()
        val record = execute(collection, reference)
        return when {
            before.crashAfter > 0 -> crashNow()
            before.loseAnswers > 0 -> silentResponse()
            else -> answer(created(record))
        }
    }

    private fun find(request: Request): Response {
        val key = "${request.path("collection")}/${request.path("id")}"
        val record = records[key] ?: return answer(Response(Status.NOT_FOUND))
        return answer(okJson(Record.serializer(), record))
    }

    private fun execute(collection: String, reference: String): Record {
        counts.merge("$collection/$reference", 1, Int::plus)
        val record = Record(lastId.incrementAndGet().toString(), collection, reference, "done")
        records["$collection/${record.id}"] = record
        return record
    }

    private fun afterPost(faults: PlainServiceFaults): PlainServiceFaults =
        when {
            faults.crashBefore > 0 -> faults.copy(crashBefore = faults.crashBefore - 1)
            faults.crashAfter > 0 -> faults.copy(crashAfter = faults.crashAfter - 1)
            faults.loseAnswers > 0 -> faults.copy(loseAnswers = faults.loseAnswers - 1)
            else -> faults
        }

    private fun crashNow(): Response {
        server.crash(faults.get().crashDownMs)
        return silentResponse()
    }

    private fun answer(response: Response): Response =
        server.delayed(response, faults.get().latencyMs)

    private fun created(record: Record) =
        jsonResponse(Status.CREATED, ProtocolJson.encodeToString(Record.serializer(), record))

    private fun reference(request: Request): String? =
        request.header(REFERENCE_HEADER) ?: bodyReference(request.bodyString())

    private fun bodyReference(body: String): String? {
        val json = runCatching { ProtocolJson.parseToJsonElement(body) }.getOrNull() as? JsonObject
        return (json?.get("reference") as? JsonPrimitive)?.contentOrNull
    }

    @Serializable
    private data class Record(
        val id: String,
        val collection: String,
        val reference: String,
        val status: String
    )

    private companion object {
        const val WORKERS = 32
        const val REFERENCE_HEADER = "x-reference"
    }
}
