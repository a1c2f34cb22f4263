package org.jacinthlink.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.jacinthlink.runtime.http.jsonResponse

internal class KeyValueServer private constructor(
    settings: KeyValueSettings,
    private val store: KeyValueStore
) : KeyValueStandIn {
    constructor(settings: KeyValueSettings) :
        this(settings, KeyValueStore(settings.maxValueBytes))

    private val faults = AtomicReference(settings.faults)
    private val calls = ConcurrentHashMap<String, Long>()
    private val rate = RateWindow(settings.callsPerSecond)
    private val server: StandInServer =
        StandInServer(settings.host, settings.port, WORKERS, handler = handler())

    override val address: String get() = server.address
    override val status: KeyValueStatus get() = KeyValueStatus(faults.get(), calls.toSortedMap())

    override fun setFaults(faults: KeyValueFaults) = this.faults.set(faults)

    override fun crash(downMs: Long) = server.crash(downMs)

    override fun drain() = stop()

    override fun awaitStopped() = server.awaitStopped()

    override fun stop() = server.stop()

    private fun handler() =
        routes(
            "/control" bind Method.GET to { okJson(KeyValueStatus.serializer(), status) },
            "/control" bind Method.POST to { request ->
                setFaults(request.decode(KeyValueFaults.serializer()))
                okJson(KeyValueStatus.serializer(), status)
            },
            "/v3/kv/range" bind Method.POST to read("range", ::range),
            "/v3/kv/put" bind Method.POST to write("put", ::put),
            "/v3/kv/txn" bind Method.POST to write("txn", ::txn),
            "/v3/lease/grant" bind Method.POST to read("lease_grant", ::grant),
            "/v3/lease/keepalive" bind Method.POST to read("lease_keepalive", ::renew)
        )

    private fun read(kind: String, call: (Request) -> Response): (Request) -> Response =
        { request -> refusal(kind) ?: answer(request, call) }

    private fun write(kind: String, call: (Request) -> Response): (Request) -> Response =
        { request -> refusal(kind) ?: faultyWrite(request, call) }

    private fun faultyWrite(request: Request, call: (Request) -> Response): Response {
        val before = faults.getAndUpdate(::afterWrite)
        return when {
            before.applyLate > 0 -> {
                server.later(before.applyLateMs) { safely(request, call) }
                silentResponse()
            }
            before.loseAnswers > 0 -> {
                safely(request, call)
                silentResponse()
            }
            else -> answer(request, call)
        }
    }

    private fun afterWrite(faults: KeyValueFaults): KeyValueFaults =
        when {
            faults.applyLate > 0 -> faults.copy(applyLate = faults.applyLate - 1)
            faults.loseAnswers > 0 -> faults.copy(loseAnswers = faults.loseAnswers - 1)
            else -> faults
        }

    private fun answer(request: Request, call: (Request) -> Response): Response =
        server.delayed(safely(request, call), faults.get().delayMs)

    private fun refusal(kind: String): Response? {
        calls.merge(kind, 1L, Long::plus)
        return when {
            faults.get().outage == Outage.SILENT -> silentResponse()
            faults.get().outage == Outage.UNAVAILABLE ->
                error(Status.SERVICE_UNAVAILABLE, KeyValueStore.UNAVAILABLE, "no leader")
            !rate.admit(System.currentTimeMillis()) ->
                error(
                    Status.TOO_MANY_REQUESTS,
                    KeyValueStore.RESOURCE_EXHAUSTED,
                    "etcdserver: too many requests"
                )
            else -> null
        }
    }

    private fun safely(request: Request, call: (Request) -> Response): Response =
        try {
            call(request)
        } catch (e: KeyValueRefusal) {
            error(Status.BAD_REQUEST, e.code, e.message.orEmpty())
        } catch (e: SerializationException) {
            error(Status.BAD_REQUEST, KeyValueStore.INVALID_ARGUMENT, e.message.orEmpty())
        } catch (e: IllegalArgumentException) {
            error(Status.BAD_REQUEST, KeyValueStore.INVALID_ARGUMENT, e.message.orEmpty())
        }

    private fun range(request: Request) =
        ok(EtcdRangeResponse.serializer(), store.range(request.etcd(EtcdRangeRequest.serializer())))

    private fun put(request: Request) =
        ok(EtcdPutResponse.serializer(), store.put(request.etcd(EtcdPutRequest.serializer())))

    private fun txn(request: Request) =
        ok(EtcdTxnResponse.serializer(), store.txn(request.etcd(EtcdTxnRequest.serializer())))

    private fun grant(request: Request): Response {
        val order = request.etcd(EtcdLeaseRequest.serializer())
        val lease = store.grantLease(order, System.currentTimeMillis())
        return ok(EtcdLeaseResponse.serializer(), lease)
    }

    private fun renew(request: Request): Response {
        val order = request.etcd(EtcdLeaseRequest.serializer())
        val lease = store.keepAlive(order, System.currentTimeMillis())
        return ok(EtcdKeepAliveResponse.serializer(), lease)
    }

    private fun <T> Request.etcd(serializer: KSerializer<T>): T =
        EtcdJson.decodeFromString(serializer, bodyString())

    private fun <T> ok(serializer: KSerializer<T>, value: T) =
        jsonResponse(Status.OK, EtcdJson.encodeToString(serializer, value))

    private fun error(status: Status, code: Int, message: String) =
        jsonResponse(
            status,
            EtcdJson.encodeToString(EtcdError.serializer(), EtcdError(message, code, message))
        )

    private companion object {
        const val WORKERS = 32
    }
}
