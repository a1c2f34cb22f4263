package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.StreamKey

/** The latest [capacity] keys that were added. */
internal class RecentKeys(private val capacity: Int) {
    private val keys = LinkedHashSet<StreamKey>()

    fun add(key: StreamKey) {
        keys += key
        if (keys.size > capacity) keys.remove(keys.first())
    }

    operator fun contains(key: StreamKey): Boolean = key in keys
}
