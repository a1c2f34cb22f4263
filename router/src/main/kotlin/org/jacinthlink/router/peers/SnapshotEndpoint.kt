package org.jacinthlink.router.peers

import kotlinx.serialization.Serializable
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.isIpv4Host

/** State that a router without access to the store fetches from a router with access. */
@Serializable
internal data class PeerSnapshot(val configuration: String, val servers: List<PeerServer>)

/** A backend server in a [PeerSnapshot]. */
@Serializable
internal data class PeerServer(
    val instanceId: String,
    val service: String,
    val host: String,
    val port: Int,
    val zone: String,
    val isReady: Boolean,
    val slots: Int,
    val bornAtMs: Long,
    val accelerator: String? = null,
    val layersFrom: Int = 0,
    val layersTo: Int = 0
)

/** Serves the current [PeerSnapshot] under any path. */
internal fun snapshotHandler(
    configuration: ConfigurationCache,
    servers: ServerRegistry
): ServerHandler =
    ServerHandler { _, exchange ->
        val snapshot =
            PeerSnapshot(
                configuration.bytes.toString(Charsets.UTF_8),
                servers.all.map { it.toPeerServer() }
            )
        val text = ProtocolJson.encodeToString(PeerSnapshot.serializer(), snapshot)
        exchange.respond(OK, emptyList(), text.toByteArray())
    }

/** Decodes a snapshot, or returns null if [text] is malformed. */
internal fun decodeSnapshot(text: String): PeerSnapshot? =
    ProtocolJson.decodeOrNull(PeerSnapshot.serializer(), text)

private fun BackendServer.toPeerServer() =
    PeerServer(
        instanceId, service, host, port, zone, state == ServerState.READY, slots, bornAtMs,
        accelerator, layers?.from ?: 0, layers?.to ?: 0
    )

/** The server in the form that [ServerRegistry] holds, or null if a value is out of range. */
internal fun PeerServer.toBackendServer(): BackendServer? =
    if (isValid()) {
        BackendServer(
            instanceId, service, host, port, zone,
            if (isReady) ServerState.READY else ServerState.DRAINING,
            slots, bornAtMs, accelerator,
            LayerRange(layersFrom, layersTo).takeIf { it.size > 0 }
        )
    } else {
        null
    }

private fun PeerServer.isValid(): Boolean {
    val hasAddress = isIpv4Host(host) && port in PORTS
    return hasAddress && slots >= 0 && isLayerRange(layersFrom, layersTo)
}

private val PORTS = 1..65_535

private const val OK = 200
