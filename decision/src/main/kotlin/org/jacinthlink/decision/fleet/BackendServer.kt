package org.jacinthlink.decision.fleet

/**
 * What a backend server says of itself.
 *
 * @property instanceId Identity of this start, or of several starts.
 * @property bornAtMs Start of the process in Unix milliseconds; tells starts of one id apart.
 * @property accelerator Kind of its accelerator, or null for a plain service.
 * @property layers Layers that it holds, or null if it holds none.
 * @property usableLayers Those of [layers] that it is not about to give up.
 * @property weightLayers Number of layers whose weights take its memory, those included that it is
 *   loading.
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

    /** The server once it holds [next] and changes nothing. */
    fun withLayers(next: LayerRange?): BackendServer =
        copy(layers = next, usableLayers = next, weightLayers = next?.size ?: 0)

    /** The server while it carries [change] out. */
    fun withChangeInProgress(change: LayerChange): BackendServer =
        copy(
            usableLayers = if (change.kept == null) layers else layers?.intersection(change.kept),
            weightLayers = maxOf(layers?.size ?: 0, change.weightLayers)
        )
}

/** Whether a backend server takes new work. */
enum class ServerState { READY, DRAINING }

/**
 * An order that a server is carrying out.
 *
 * @property kept Those of its layers that it goes on to hold, or null if it gives none up.
 * @property weightLayers Number of layers whose weights take its memory meanwhile.
 */
data class LayerChange(val kept: LayerRange?, val weightLayers: Int)

/** Layers [from] up to [to], exclusive. */
data class LayerRange(val from: Int, val to: Int) {
    val size: Int get() = to - from

    /** True if all of [other] is inside. */
    fun contains(other: LayerRange): Boolean = from <= other.from && other.to <= to

    /** Number of layers of this that lie from [from] up to [to], exclusive. */
    fun countBetween(from: Int, to: Int): Int =
        (minOf(this.to, to) - maxOf(this.from, from)).coerceAtLeast(0)

    /** Layers in both, or null if there are none. */
    fun intersection(other: LayerRange): LayerRange? =
        LayerRange(maxOf(from, other.from), minOf(to, other.to)).takeIf { it.size > 0 }

    /** The smallest range that holds both. */
    fun hull(other: LayerRange): LayerRange =
        LayerRange(minOf(from, other.from), maxOf(to, other.to))

    /** True if both share a layer or one begins where the other ends. */
    fun touches(other: LayerRange): Boolean = from <= other.to && other.from <= to

    /** True if [layer] is inside. */
    operator fun contains(layer: Int): Boolean = layer in from until to

    override fun toString(): String = "$from-$to"
}
