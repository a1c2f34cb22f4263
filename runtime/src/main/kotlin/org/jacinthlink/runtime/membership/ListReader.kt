package org.jacinthlink.runtime.membership

import kotlin.random.Random
import org.jacinthlink.api.InstanceList
import org.jacinthlink.api.InstanceListResult
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult

/** Reads the instance list from the platform and, while that is down, from peers. */
internal class ListReader(
    private val platform: InstanceList,
    private val client: PeerClient,
    private val eventLog: EventLog,
    private val clock: Clock,
    private val random: Random
) {
    private var failures = 0
    private var wasEmpty = false

    @Volatile
    private var readAtMs: Long? = null

    /** Time since the platform gave the list in use; null if none is in use. */
    fun ageMs(): Long? = readAtMs?.let { clock.nowMs() - it }

    /** Reads a newer list, or returns null. [peers] are asked if the platform fails. */
    fun read(peers: List<String>): List<ListedInstance>? =
        when (val result = platform.read()) {
            is InstanceListResult.Unavailable -> failed(result.message, peers)
            is InstanceListResult.Listed ->
                if (result.instances.isEmpty()) empty(peers) else succeeded(result.instances)
        }

    /** Pause until the next read of a list of [count] instances. */
    fun intervalMs(count: Int): Long =
        if (failures > 0) {
            (MIN_INTERVAL_MS shl (failures - 1).coerceIn(0, 4)).coerceAtMost(MAX_BACKOFF_MS)
        } else {
            maxOf(MIN_INTERVAL_MS, count * INTERVAL_PER_INSTANCE_MS)
        }

    /**
     * A platform that forgot every instance must not empty the routing tables. No back-off applies:
     * the list of a site that is just being started fills at any moment.
     */
    private fun empty(peers: List<String>): List<ListedInstance>? {
        if (!wasEmpty) eventLog.record("instance_list_empty")
        failures = 0
        wasEmpty = true
        return askPeers(peers)
    }

    private fun succeeded(instances: List<ListedInstance>): List<ListedInstance> {
        if (failures > 0) eventLog.record("instance_list_back", null, "failures" to failures)
        failures = 0
        wasEmpty = false
        readAtMs = clock.nowMs()
        return instances
    }

    private fun failed(message: String, peers: List<String>): List<ListedInstance>? {
        failures++
        if (failures == 1) eventLog.record("instance_list_down", null, "error" to message)
        return askPeers(peers)
    }

    private fun askPeers(peers: List<String>): List<ListedInstance>? =
        peers.shuffled(random).take(MAX_PEERS).firstNotNullOfOrNull(::askPeer)

    private fun askPeer(address: String): List<ListedInstance>? {
        val call = PeerCall("GET", "http://$address/v1/instances")
        val answer = client.call(call, PEER_TIMEOUT_MS) as? PeerResult.Answered ?: return null
        val list = if (answer.isSuccess) decode(answer.body) else null
        val peerAgeMs = list?.ageMs ?: return null
        val ownAgeMs = ageMs()
        if (ownAgeMs != null && peerAgeMs + MIN_GAIN_MS > ownAgeMs) return null
        readAtMs = clock.nowMs() - peerAgeMs
        eventLog.record("instance_list_from_peer", null, "peer" to address, "age_ms" to peerAgeMs)
        return list.instances
    }

    private fun decode(body: String): PeerInstanceList? =
        ProtocolJson.decodeOrNull(PeerInstanceList.serializer(), body)

    private companion object {
        const val MIN_INTERVAL_MS = 2_000L
        const val MAX_BACKOFF_MS = 16_000L

        // One entry of the list is about 110 bytes, so reads take at most about 4 KB/s.
        const val INTERVAL_PER_INSTANCE_MS = 26L
        const val PEER_TIMEOUT_MS = 1_000L

        // Some seeds or peers may be gone as well.
        const val MAX_PEERS = 3

        // A list that is hardly newer is not worth the change.
        const val MIN_GAIN_MS = 1_000L
    }
}
