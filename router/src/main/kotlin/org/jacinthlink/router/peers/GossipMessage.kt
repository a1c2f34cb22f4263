package org.jacinthlink.router.peers

import kotlinx.serialization.Serializable
import org.jacinthlink.decision.paths.NO_LOAD
import org.jacinthlink.decision.paths.PathId
import org.jacinthlink.decision.paths.PathLoad

/**
 * What a router tells the others several times a second, in one datagram.
 *
 * @property instance Name of the sender.
 * @property host Address of the sender.
 * @property startedAtMs Start of the sender in Unix milliseconds.
 * @property dutyToken Fencing token if the sender holds the duty of placing layers.
 * @property configurationVersion Newest configuration that the sender has read.
 * @property storeAgeMs Since the store last answered the sender, or null if it never did.
 * @property failed Addresses that the sender takes as failed.
 * @property leaving Those of [failed] that live but turn requests away.
 * @property slow Addresses of engines that the sender has found slow.
 * @property loads What the sender's requests take of each path.
 * @property firstSends First sends of requests within the window of the retry budget.
 * @property repeats Other sends within it.
 * @property layers Layers that the sender has found changed at engines within the last seconds.
 * @property targets What each engine is meant to hold, from the holder of the duty.
 * @property changes Orders that engines are carrying out, from the holder of the duty.
 * @property peers Hosts of some other routers.
 */
@Serializable
internal data class GossipMessage(
    val instance: String,
    val host: String,
    val startedAtMs: Long,
    val isDraining: Boolean = false,
    val dutyToken: Long? = null,
    val configurationVersion: Long? = null,
    val storeAgeMs: Long? = null,
    val failed: List<String> = emptyList(),
    val leaving: List<String> = emptyList(),
    val slow: List<String> = emptyList(),
    val loads: List<PathShare> = emptyList(),
    val firstSends: Int = 0,
    val repeats: Int = 0,
    val layers: List<LayerNews> = emptyList(),
    val targets: List<LayerTarget> = emptyList(),
    val changes: List<LayerChangeNews> = emptyList(),
    val peers: List<String> = emptyList()
)

/** What requests of one router take of the path of zone [home] that begins at [first]. */
@Serializable
internal data class PathShare(
    val home: String,
    val first: String,
    val tokens: Long,
    val streams: Int
)

/** What the requests of [peers] together take of each path. */
internal fun sumOfLoads(peers: List<GossipMessage>): Map<PathId, PathLoad> =
    peers.flatMap { it.loads }
        .groupingBy { PathId(it.home, it.first) }
        .fold(NO_LOAD) { sum, share -> sum + PathLoad(share.tokens, share.streams) }

/** Layers of one engine, as it said [ageMs] ago; [from] equals [to] if it holds none. */
@Serializable
internal data class LayerNews(
    val instanceId: String,
    val bornAtMs: Long,
    val ageMs: Long,
    val from: Int,
    val to: Int
)

/** Layers that an engine is meant to hold as a member of [group]. */
@Serializable
internal data class LayerTarget(val instanceId: String, val from: Int, val to: Int, val group: Int)

/**
 * An engine that carries out an order: if it gives layers up, only those [from] up to [to] may be
 * used, and the weights of [weightLayers] layers take its memory.
 */
@Serializable
internal data class LayerChangeNews(
    val instanceId: String,
    val weightLayers: Int,
    val from: Int? = null,
    val to: Int? = null
)
