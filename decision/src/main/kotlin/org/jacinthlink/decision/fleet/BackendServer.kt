package org.jacinthlink.decision.fleet

/**
 * State of a backend server, as the server reports it.
 *
 * @property instanceId Id of the server. A restarted server may have the same id or a new one.
 * @property bornAtMs Time at which the process started, in Unix milliseconds; distinguishes
 *   processes with the same id.
 * @property accelerator Kind of the server's accelerator, or null for a plain service.
 * @property layers Layers that the server holds, or null if it holds none.
 * @property usableLayers Those of [layers] that the server is not about to release.
 * @property weightLayers Number of layers whose weights use the server's memory, including those
 *   that it is loading.
 */
data class BackendServer(
    val instanceId: String,
    val service: String,
    val host: String,
    val port: Int,
    val zone: String,
    val state: ServerState,
    val slots: Int,
    val bornAtMs: Long,
    val accelerator: String?,
    val layers: LayerRange?,
    val usableLayers: LayerRange? = layers,
    val weightLayers: Int = layers?.size ?: 0
) {
    /** `IP:PORT`. */
    val address: String get() = "$host:$port"

    /** The start of the server's process that this state belongs to. */
    val start: ServerStart get() = ServerStart(instanceId, bornAtMs)

    /** Returns a copy of the server that holds [next] and has no change in progress. */
    fun withLayers(next: LayerRange?): BackendServer =
        copy(layers = next, usableLayers = next, weightLayers = next?.size ?: 0)

    /** Returns a copy of the server while it carries out [change]. */
    fun withChangeInProgress(change: LayerChange): BackendServer =
        copy(
            usableLayers = if (change.kept == null) layers else layers?.intersection(change.kept),
            weightLayers = maxOf(layers?.size ?: 0, change.weightLayers)
        )
}

/**
 * One start of a backend server's process. A restarted server may keep its id, but it knows nothing
 * of the requests and announcements of its previous start.
 */
data class ServerStart(val instanceId: String, val bornAtMs: Long)

/** Whether a backend server accepts new requests. */
enum class ServerState { READY, DRAINING }

/**
 * The effect of an order that a server is carrying out.
 *
 * @property kept Layers of the server that it continues to hold, or null if it releases none.
 * @property weightLayers Number of layers whose weights use the server's memory in the meantime.
 */
data class LayerChange(val kept: LayerRange?, val weightLayers: Int)

/** The layers from [from] up to [to], exclusive. */
data class LayerRange(val from: Int, val to: Int) {
    val size: Int get() = to - from

    /** True if this range contains all of [other]. */
    fun contains(other: LayerRange): Boolean = from <= other.from && other.to <= to

    /** Number of layers of this range from [from] up to [to], exclusive. */
    fun countBetween(from: Int, to: Int): Int =
        (minOf(this.to, to) - maxOf(this.from, from)).coerceAtLeast(0)

    /** The layers that both ranges contain, or null if there are none. */
    fun intersection(other: LayerRange): LayerRange? =
        LayerRange(maxOf(from, other.from), minOf(to, other.to)).takeIf { it.size > 0 }

    /** The smallest range that contains both ranges. */
    fun hull(other: LayerRange): LayerRange =
        LayerRange(minOf(from, other.from), maxOf(to, other.to))

    /** True if the ranges overlap or one begins where the other ends. */
    fun touches(other: LayerRange): Boolean = from <= other.to && other.from <= to

    /** True if this range contains [layer]. */
    operator fun contains(layer: Int): Boolean = layer in from until to

    override fun toString(): String = "$from-$to"
}
