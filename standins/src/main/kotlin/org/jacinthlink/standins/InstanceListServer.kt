package org.jacinthlink.standins

import java.security.MessageDigest
import java.util.HexFormat
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance

internal class InstanceListServer(private val settings: InstanceListSettings) :
    InstanceListStandIn {
    private val list =
        LaggingValue(settings.instances.associateBy { it.instance })

    @Volatile private var lagMs = settings.lagMs

    @Volatile private var outage = settings.outage
    private val server: StandInServer =
        StandInServer(settings.host, settings.port, WORKERS, handler = handler())

    override val address: String get() = server.address

    override fun add(instance: ListedInstance) = change { it + (instance.instance to instance) }

    override fun remove(instance: InstanceId) = change { it - instance }

    override fun markLeaving(instance: InstanceId) = change { known ->
        known[instance]?.let { known + (instance to it.copy(leaving = true)) } ?: known
    }

    override fun setLag(lagMs: Long) {
        this.lagMs = lagMs
    }

    override fun setOutage(outage: Outage) {
        this.outage = outage
    }

    override fun drain() = stop()

    override fun awaitStopped() = server.awaitStopped()

    override fun stop() = server.stop()

    private fun handler() =
        routes(
            "/v1/instances" bind Method.GET to ::answer,
            "/control/add" bind Method.POST to { request: Request ->
                add(request.decode(ListedInstance.serializer()))
                truth()
            },
            "/control/remove" bind Method.POST to { request: Request ->
                remove(request.decode(InstanceOrder.serializer()).instance)
                truth()
            },
            "/control/leave" bind Method.POST to { request: Request ->
                markLeaving(request.decode(InstanceOrder.serializer()).instance)
                truth()
            },
            "/control" bind Method.GET to { _: Request -> truth() },
            "/control" bind Method.POST to { request: Request ->
                val order = request.decode(ListOrder.serializer())
                order.lagMs?.let(::setLag)
                order.outage?.let(::setOutage)
                truth()
            }
        )

    private fun answer(request: Request): Response =
        when (outage) {
            Outage.NONE -> conditional(request, list.read(System.currentTimeMillis(), lagMs))
            Outage.UNAVAILABLE -> Response(Status.SERVICE_UNAVAILABLE)
            Outage.SILENT -> silentResponse()
        }

    private fun conditional(
        request: Request,
        instances: Map<InstanceId, ListedInstance>
    ): Response {
        val whole = listed(instances)
        if (!settings.entityTags) return whole
        val hash = MessageDigest.getInstance("SHA-256").digest(whole.bodyString().toByteArray())
        val tag = "\"${HexFormat.of().formatHex(hash, 0, TAG_BYTES)}\""
        val isKnown = request.header("if-none-match") == tag
        return (if (isKnown) Response(Status.NOT_MODIFIED) else whole).header("etag", tag)
    }

    private fun truth() = listed(list.latest)

    private fun listed(instances: Map<InstanceId, ListedInstance>) =
        okJson(ListSerializer(ListedInstance.serializer()), instances.values.toList())

    @Synchronized
    private fun change(edit: (Map<InstanceId, ListedInstance>) -> Map<InstanceId, ListedInstance>) =
        list.set(edit(list.latest), System.currentTimeMillis())

    @Serializable
    private data class InstanceOrder(val instance: InstanceId)

    @Serializable
    private data class ListOrder(val lagMs: Long? = null, val outage: Outage? = null)

    private companion object {
        const val WORKERS = 8
        const val TAG_BYTES = 16
    }
}
