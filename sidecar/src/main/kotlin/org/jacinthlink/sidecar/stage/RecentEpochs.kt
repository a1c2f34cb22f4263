package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.StreamKey

/**
 * Epochs that were announced before the first input of their stream came, for the latest
 * [capacity] streams.
 *
 * Without them, a late input of an older epoch would set up the stream, its outputs would be
 * refused further on, and the stage would drop the stream and run it again.
 */
internal class RecentEpochs(private val capacity: Int) {
    private val epochs = LinkedHashMap<StreamKey, Int>()

    /** The epoch announced for [key]; 0 if there was none. */
    operator fun get(key: StreamKey): Int = epochs[key] ?: 0

    fun raise(key: StreamKey, epoch: Int) {
        epochs[key] = maxOf(epoch, get(key))
        if (epochs.size > capacity) epochs.remove(epochs.keys.first())
    }
}
