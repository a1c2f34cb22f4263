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

/** What a router that cannot read the store takes from one that can. */
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

/** Serves the present [PeerSnapshot] under any path. */
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

/** Reads the body of a snapshot, or returns null if it has another shape. */
internal fun decodeSnapshot(text: String): PeerSnapshot? =
    ProtocolJson.decodeOrNull(PeerSnapshot.serializer(), text)

private fun BackendServer.toPeerServer() =
    PeerServer(
        instanceId, service, host, port, zone, state == ServerState.READY, slots, bornAtMs,
        accelerator, layers?.from ?: 0, layers?.to ?: 0
    )

/** The server as the directory holds it. */
internal fun PeerServer.toBackendServer() =
    BackendServer(
        instanceId, service, host, port, zone,
        if (isReady) ServerState.READY else ServerState.DRAINING,
        slots, bornAtMs, accelerator,
        if (layersTo > layersFrom) LayerRange(layersFrom, layersTo) else null
    )

private const val OK = 200
