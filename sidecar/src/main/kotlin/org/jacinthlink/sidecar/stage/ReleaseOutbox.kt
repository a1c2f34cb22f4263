package org.jacinthlink.sidecar.stage

import java.util.concurrent.Executor
import org.jacinthlink.api.StreamKey

/** Tells stages to free streams, all that wait for one stage in one message. */
internal class ReleaseOutbox(private val peers: StagePeers, private val executor: Executor) {
    private val waiting = HashMap<String, MutableList<StreamKey>>()
    private val inFlight = HashSet<String>()

    fun add(address: String, stream: StreamKey) {
        val isIdle =
            synchronized(this) {
                waiting.getOrPut(address) { ArrayList() } += stream
                inFlight.add(address)
            }
        if (isIdle) executor.execute { sendAll(address) }
    }

    private fun sendAll(address: String) {
        while (true) {
            val streams = take(address)
            if (streams.isEmpty()) return
            // A stage that cannot be reached frees the streams by itself once they are idle.
            peers.release(address, streams)
        }
    }

    private fun take(address: String): List<StreamKey> =
        synchronized(this) {
            waiting.remove(address).orEmpty().also { if (it.isEmpty()) inFlight -= address }
        }
}
