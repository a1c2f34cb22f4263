package org.jacinthlink.router.soak

import java.nio.file.Path
import org.jacinthlink.router.RouterSettings
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.StoreStandIn
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.router.standins.route
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
internal class SoakSite(folder: Path, seed: Int) : AutoCloseable {
    private val loop = eventLoop("stand-ins")
    private val watch = ProcessWatch(folder)
    val proxy: FaultProxy = startFaultProxy()
    val store = StoreStandIn(loop)
    val engines =
        listOf("a1" to "a", "a2" to "a", "a3" to "a", "b1" to "b", "b2" to "b", "b3" to "b")
            .map { (id, zone) -> EngineStandIn(loop, id, zone, STREAM_EVENTS, EVENT_MS) }
    val plainServers = listOf("d1", "d2").map { EngineStandIn(loop, it, "a") }
    val stutteringServers =
        listOf(
            stutteringProcess("s1", "a", STUTTERING_ENGINE_SERVICE, seed, watch),
            stutteringProcess("s2", "a", STUTTERING_SERVICE, seed, watch),
            stutteringProcess("s3", "a", STUTTERING_SERVICE, seed, watch)
        )
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
        stutteringServers.forEach(::register)
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
                watch
            )
        }
        routers.forEach { it.start() }
    }

    /** Describes each process that ended by itself, and each failure that one reported. */
    fun processFailures(): List<String> = watch.failures()

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
        val service = if (server in plainServers) PLAIN_SERVICE else ENGINE_SERVICE
        store.write("servers/${server.instanceId}", server.entry(service, state))
    }

    /** Removes the entry of [server] from the store. */
    fun leave(server: EngineStandIn) = store.delete("servers/${server.instanceId}")

    /** Writes the entry of [server] to the store, with the address of its listener at the proxy. */
    private fun register(server: ServerProcess) {
        val address = server.address
        val entry = server.entry.replace(address, listener(server.instanceId, address))
        store.write("servers/${server.instanceId}", entry)
    }

    /** Writes the next version of the configuration. */
    fun configure() {
        val safe = route("stuttering", "safe", STUTTERING_SERVICE, 2)
        val unsafe = route("stuttering-once", "unsafe", STUTTERING_SERVICE, 1)
        val stream = route("stuttering-stream", "stream", STUTTERING_ENGINE_SERVICE, 1)
        val text = configuration(version++)
        val engine =
            ENGINE_ENTRY.find(text)!!.value
                .replace("\"$ENGINE_SERVICE\"", "\"$STUTTERING_ENGINE_SERVICE\"")
        val services = """$engine,{"name":"$STUTTERING_SERVICE"}"""
        store.write(
            "op/config",
            text.replace("\"routes\":[", "\"routes\":[$safe,$unsafe,$stream,")
                .replace("\"services\":[", "\"services\":[$services,")
        )
    }

    override fun close() {
        routers.forEach { it.close() }
        stutteringServers.forEach { it.close() }
        proxy.stop()
        loop.stop()
    }

    private fun listener(name: String, target: String): String =
        proxy.addListener(ProxyListenerSettings(name, target))

    private companion object {
        const val ROUTERS = 3
        const val EVENT_MS = 25L
        const val GRACE_S = 6.0
        const val ENGINE_SERVICE = "model"
        const val PLAIN_SERVICE = "desk"
        const val STUTTERING_SERVICE = "stuttering"
        const val STUTTERING_ENGINE_SERVICE = "stuttering-model"
        val ENGINE_ENTRY = Regex("""\{"name":"$ENGINE_SERVICE".*]}}""", RegexOption.DOT_MATCHES_ALL)
    }
}
