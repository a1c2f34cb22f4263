package org.jacinthlink.standins

import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

internal class FaultProxyServer(private val settings: FaultProxySettings) : FaultProxy {
    private val listeners = ConcurrentHashMap<String, ProxyListener>()
    private val server: StandInServer

    init {
        settings.listeners.forEach(::addListener)
        server =
            StandInServer(settings.host, settings.controlPort, WORKERS, handler = handler())
    }

    override val address: String get() = server.address

    override val status: List<ProxyListenerStatus>
        get() = listeners.values.map { it.status }.sortedBy { it.name }

    override fun addressOf(listener: String) = listeners.getValue(listener).address

    override fun addListener(settings: ProxyListenerSettings): String {
        val listener = ProxyListener(this.settings.host, settings)
        val old = listeners.putIfAbsent(settings.name, listener)
        if (old != null) listener.stop()
        require(old == null) { "listener ${settings.name} exists" }
        return listener.address
    }

    override fun setFaults(listener: String, faults: ProxyFaults) =
        listeners.getValue(listener).setFaults(faults)

    override fun cutAll(listener: String) = listeners.getValue(listener).cutAll()

    override fun silenceExisting(listener: String) =
        listeners.getValue(listener).silenceExisting()

    override fun drain() = stop()

    override fun awaitStopped() = server.awaitStopped()

    override fun stop() {
        server.stop()
        listeners.values.forEach { it.stop() }
    }

    private fun handler() =
        routes(
            "/control" bind Method.GET to { _: Request ->
                okJson(ListSerializer(ProxyListenerStatus.serializer()), status)
            },
            "/control" bind Method.POST to { request: Request ->
                val added = request.decode(ProxyListenerSettings.serializer())
                addListener(added)
                okJson(ProxyListenerStatus.serializer(), listeners.getValue(added.name).status)
            },
            "/control/{listener}" bind Method.POST to { request: Request ->
                onListener(request) {
                    it.setFaults(request.decode(ProxyFaults.serializer()))
                }
            },
            "/control/{listener}/cut" bind Method.POST to { request: Request ->
                onListener(request) { it.cutAll() }
            },
            "/control/{listener}/silence" bind Method.POST to { request: Request ->
                onListener(request) { it.silenceExisting() }
            }
        )

    private fun onListener(request: Request, action: (ProxyListener) -> Unit): Response {
        val listener =
            listeners[request.path("listener").orEmpty()] ?: return Response(Status.NOT_FOUND)
        action(listener)
        return okJson(ProxyListenerStatus.serializer(), listener.status)
    }

    private companion object {
        const val WORKERS = 4
    }
}
