package org.jacinthlink.router.soak

import java.nio.file.Path
import org.jacinthlink.router.RouterSettings
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.StoreStandIn
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.standins.FaultProxy
import org.jacinthlink.standins.ProxyFaults
import org.jacinthlink.standins.ProxyListenerSettings
import org.jacinthlink.standins.startFaultProxy
import org.jacinthlink.transport.eventLoop

/** Number of events of a complete stream. */
internal const val STREAM_EVENTS = 30

/** Number of layers of the model in the configuration. */
internal const val LAYERS = 8

/**
 * Router processes with stand-ins of the store, of the engines of two zones and of two plain
 * servers.
 *
 * All connections of the routers pass through a proxy, which has one listener for each server and
 * one for the connections of each router to the store.
 */
internal class SoakSite(folder: Path) : AutoCloseable {
    private val loop = eventLoop("stand-ins")
    val proxy: FaultProxy = startFaultProxy()
    val store = StoreStandIn(loop)
    val engines =
        listOf("a1" to "a", "a2" to "a", "a3" to "a", "b1" to "b", "b2" to "b", "b3" to "b")
            .map { (id, zone) -> EngineStandIn(loop, id, zone, STREAM_EVENTS, EVENT_MS) }
    val plainServers = listOf("d1", "d2").map { EngineStandIn(loop, it, "a") }
    val routers: List<RouterProcess>
    private val unresponsiveAddresses = java.util.concurrent.ConcurrentHashMap.newKeySet<String>()
    private var version = 1

    init {
        configure()
        (engines + plainServers).forEach { server ->
            server.entryAddress = listener(server.instanceId, server.address.toString())
            server.forwardsActivations = { path -> unresponsiveAddresses.none { "$it=" in path } }
            register(server)
        }
        val peerPort = freePort()
        routers = List(ROUTERS) { index ->
            val host = "127.0.0.${index + 1}"
            RouterProcess(
                RouterSettings(
                    instance = "r${index + 1}",
                    availabilityZone = "a",
                    clients = "$host:${freePort()}",
                    readiness = "$host:${freePort()}",
                    host = host,
                    peerPort = peerPort,
                    metricsPort = 0,
                    seeds = listOf("127.0.0.1:$peerPort"),
                    store = listener(storeListener(index), store.address.toString()),
                    shutdownGraceS = GRACE_S
                ),
                folder
            )
        }
        routers.forEach { it.start() }
    }

    /** Name of the proxy's listener between the router at [index] and the store. */
    fun storeListener(index: Int): String = "store-$index"

    /**
     * Applies [faults] to the connections of [server]. If they hold data back, the server also
     * passes no activations on to the next server of its path; otherwise it passes them on again.
     */
    fun setUnresponsive(server: EngineStandIn, faults: ProxyFaults) {
        val address = checkNotNull(server.entryAddress)
        if (faults.hold == null) {
            unresponsiveAddresses.remove(address)
        } else {
            unresponsiveAddresses.add(address)
        }
        proxy.setFaults(server.instanceId, faults)
    }

    /** Writes the entry of [server] to the store as the server itself does. */
    fun register(server: EngineStandIn, state: String = "ready") {
        val service = if (server in plainServers) "desk" else "model"
        store.write("servers/${server.instanceId}", server.entry(service, state))
    }

    /** Writes the next version of the configuration. */
    fun configure() = store.write("op/config", configuration(version++))

    override fun close() {
        routers.forEach { it.close() }
        proxy.stop()
        loop.stop()
    }

    private fun listener(name: String, target: String): String =
        proxy.addListener(ProxyListenerSettings(name, target))

    private companion object {
        const val ROUTERS = 3
        const val EVENT_MS = 25L
        const val GRACE_S = 6.0
    }
}
