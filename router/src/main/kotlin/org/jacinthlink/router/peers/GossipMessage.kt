@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.jacinthlink.decision.paths.NO_LOAD
import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.PathLoad
import org.jacinthlink.decision.watch.StorePosition
import org.jacinthlink.transport.isIpv4Host

/**
 * State that a router sends to the others several times a second, in one datagram.
 *
 * Routers of different versions exchange messages: a field keeps its name and number, and a new one
 * has a default value and the next free number.
 *
 * @property instance Name of the sender.
 * @property host Address of the sender.
 * @property startedAtMs Start of the sender in Unix milliseconds.
 * @property dutyToken Fencing token if the sender is the layout leader, or null.
 * @property configurationVersion Version of the configuration by which the sender serves, or null
 *   while it is starting.
 * @property storeAgeMs Time since the store last answered the sender, or null if it never did.
 * @property failed Addresses of backend servers that the sender considers failed.
 * @property leaving Those of [failed] that are alive but reject requests because they are draining
 *   or failing.
 * @property draining Servers that the sender has recently found out to be draining.
 * @property slow Addresses of engines that the sender has detected as slow.
 * @property loads Load of the sender's requests on each path.
 * @property firstSends First attempts of requests within the window of the retry budget.
 * @property repeats Retries within that window.
 * @property layers Layers of engines for which the sender has observed a change within the last few
 *   seconds.
 * @property targets Target layers of each engine, from the layout leader.
 * @property changes Orders in progress at engines, from the layout leader.
 * @property peers Hosts of some other routers.
 * @property readsBinary True if the sender reads messages in the binary format of [GossipCodec].
 * @property quarantine What the sender knows of contents that may end backend servers, or null if
 *   it knows of none.
 * @property operatorRevision Revision of the newest change of the operators' prefix of the store
 *   that the sender has received in [storeEra], or 0.
 * @property serversRevision The same for the prefix of the servers.
 * @property rateLimits What the sender knows of servers that take a limited rate of requests, or
 *   null if it knows of none.
 * @property storeEra Newest era of the store that the sender knows, or 0. Revisions of different
 *   eras do not compare.
 * @property backlogs Requests that arrive, wait and start at the sender, by service.
 * @property plainLoads Requests of the sender in flight at servers of plain services.
 * @property workspaceDemands Use of the quotas of workspaces at the sender, of those with recent
 *   requests.
 */
@Serializable
internal data class GossipMessage(
    @ProtoNumber(1) val instance: String,
    @ProtoNumber(2) val host: String,
    @ProtoNumber(3) val startedAtMs: Long,
    @ProtoNumber(4) val isDraining: Boolean = false,
    @ProtoNumber(5) val dutyToken: Long? = null,
    @ProtoNumber(6) val configurationVersion: Long? = null,
    @ProtoNumber(7) val storeAgeMs: Long? = null,
    @ProtoNumber(8) val failed: List<String> = emptyList(),
    @ProtoNumber(9) val leaving: List<String> = emptyList(),
    @ProtoNumber(10) val draining: List<DrainingServer> = emptyList(),
    @ProtoNumber(11) val slow: List<String> = emptyList(),
    @ProtoNumber(12) val loads: List<PathShare> = emptyList(),
    @ProtoNumber(13) val firstSends: Int = 0,
    @ProtoNumber(14) val repeats: Int = 0,
    @ProtoNumber(15) val layers: List<ObservedLayers> = emptyList(),
    @ProtoNumber(16) val targets: List<LayerTarget> = emptyList(),
    @ProtoNumber(17) val changes: List<OrderedLayerChange> = emptyList(),
    @ProtoNumber(18) val peers: List<String> = emptyList(),
    @ProtoNumber(19) val readsBinary: Boolean = false,
    @ProtoNumber(20) val quarantine: QuarantineGossip? = null,
    @ProtoNumber(21) val operatorRevision: Long = 0,
    @ProtoNumber(22) val serversRevision: Long = 0,
    @ProtoNumber(23) val rateLimits: RateLimitGossip? = null,
    @ProtoNumber(24) val storeEra: Long = 0,
    @ProtoNumber(25) val backlogs: List<ServiceBacklog> = emptyList(),
    @ProtoNumber(26) val plainLoads: List<PlainLoad> = emptyList(),
    @ProtoNumber(27) val workspaceDemands: List<WorkspaceDemand> = emptyList()
) {
    /**
     * True if addresses, layers and counts are within their ranges. A datagram may come from
     * another program, and a value out of range must not reach the decisions.
     */
    fun isValid(): Boolean =
        (peers + host).all(::isIpv4Host) &&
            hasValidLayers() &&
            hasValidLoads() &&
            minOf(operatorRevision, serversRevision) >= 0 &&
            storeEra in StorePosition.ERAS &&
            quarantine?.isValid() != false &&
            rateLimits?.isValid() != false

    private fun hasValidLayers(): Boolean =
        layers.all { it.ageMs >= 0 && isLayerRange(it.from, it.to) } &&
            targets.all { isLayerRange(it.from, it.to) } &&
            changes.all { it.isValid() }

    private fun hasValidLoads(): Boolean =
        loads.all { it.tokens in LOAD_TOKENS && it.streams >= 0 } &&
            minOf(firstSends, repeats) >= 0 &&
            backlogs.all { it.isValid() } &&
            plainLoads.areValid() &&
            areValid(workspaceDemands)
}

/** Start of a backend server that has announced that it is draining. */
@Serializable
internal data class DrainingServer(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val bornAtMs: Long
)

/** Load of one router's requests on the path of zone [home] whose first server is [first]. */
@Serializable
internal data class PathShare(
    @ProtoNumber(1) val home: String,
    @ProtoNumber(2) val first: String,
    @ProtoNumber(3) val tokens: Long,
    @ProtoNumber(4) val streams: Int
)

/** Total load of the requests of [peers] on each path. */
internal fun sumOfLoads(peers: List<GossipMessage>): Map<PathId, PathLoad> =
    peers.flatMap { it.loads }
        .groupingBy { PathId(it.home, it.first) }
        .fold(NO_LOAD) { sum, share -> sum + PathLoad(share.tokens, share.streams) }

/** Layers that an engine reported [ageMs] ago; [from] equals [to] if it holds none. */
@Serializable
internal data class ObservedLayers(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val bornAtMs: Long,
    @ProtoNumber(3) val ageMs: Long,
    @ProtoNumber(4) val from: Int,
    @ProtoNumber(5) val to: Int
)

/** Target layers of an engine as a member of [group]. */
@Serializable
internal data class LayerTarget(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val from: Int,
    @ProtoNumber(3) val to: Int,
    @ProtoNumber(4) val group: Int
)

/**
 * Order in progress at an engine. If the order releases layers, only those [from] up to [to],
 * exclusive, may be used; the weights of [weightLayers] layers take memory of the engine.
 */
@Serializable
internal data class OrderedLayerChange(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val weightLayers: Int,
    @ProtoNumber(3) val from: Int? = null,
    @ProtoNumber(4) val to: Int? = null
) {
    internal fun isValid(): Boolean =
        weightLayers in LAYERS && (from == null || isLayerRange(from, to ?: from))
}

/** True if [from] up to [to] are possible layers of a model. */
internal fun isLayerRange(from: Int, to: Int): Boolean = from in LAYERS && to in from..LAYERS.last

private val LAYERS = 0..10_000

/** Tokens that the requests of one router can occupy on a path, with a wide margin. */
private val LOAD_TOKENS = 0L..1_000_000_000_000L
