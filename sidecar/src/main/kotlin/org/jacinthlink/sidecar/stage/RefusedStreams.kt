package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.StreamKey

/** Epochs up to which the latest [capacity] streams are refused. */
internal class RefusedStreams(private val capacity: Int) {
    private val lastRefused = LinkedHashMap<StreamKey, Int>()

    /** Refuses messages of [key] up to [epoch]. */
    fun refuseUpTo(key: StreamKey, epoch: Int) {
        lastRefused.merge(key, epoch, ::maxOf)
        if (lastRefused.size > capacity) lastRefused.remove(lastRefused.keys.first())
    }

    /** Refuses all messages of [key]. */
    fun refuse(key: StreamKey) = refuseUpTo(key, Int.MAX_VALUE)

    /** True if a message of [key] with [epoch] is refused. */
    fun isRefused(key: StreamKey, epoch: Int): Boolean =
        lastRefused[key]?.let { epoch <= it } ?: false
}
