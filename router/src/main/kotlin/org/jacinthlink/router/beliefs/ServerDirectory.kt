package org.jacinthlink.router.beliefs

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.platform.fleet.Decoded
import org.jacinthlink.platform.fleet.SERVERS_PREFIX
import org.jacinthlink.platform.fleet.decodeServer
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.DecisionLog

/** The backend servers that are registered, with the newest that is known of their layers. */
internal class ServerDirectory(
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit
) : PrefixListener {
    private val servers = LinkedHashMap<String, BackendServer>()
    private val missingSinceMs = HashMap<String, Long>()
    private val learntAtMs = HashMap<String, Long>()

    /** All servers that may be used or are leaving. */
    val all: List<BackendServer> get() = servers.values.toList()

    /** Servers of [service] that take new work. */
    fun ready(service: String): List<BackendServer> =
        servers.values.filter { it.service == service && it.state == ServerState.READY }

    /** Server at [address], or null. */
    fun at(address: String): BackendServer? = servers.values.lastOrNull { it.address == address }

    /** Server with [instanceId], or null. */
    fun byId(instanceId: String): BackendServer? = servers[instanceId]

    override fun onSnapshot(items: List<StoreItem>) {
        val seen = items.mapNotNull { decode(it) }
        seen.forEach { put(it) }
        val nowMs = clockMs()
        val seenIds = seen.map { it.instanceId }.toSet()
        // Entries that lapsed during an outage of the store come back within about two seconds.
        servers.keys.filter { it !in seenIds }.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        log.event("servers_read", "count" to seen.size, "missing" to missingSinceMs.size)
        onChanged()
    }

    override fun onChange(change: StoreChange) {
        when (change) {
            is StoreChange.Written -> decode(change.item)?.let { put(it) }
            is StoreChange.Removed -> remove(change.key.removePrefix(SERVERS_PREFIX), "removed")
        }
        onChanged()
    }

    /** Servers whose layers were learnt from themselves since [sinceMs]. */
    fun learntSince(sinceMs: Long): List<BackendServer> =
        learntAtMs.filterValues { it >= sinceMs }.keys.mapNotNull { servers[it] }

    /** Drops servers whose entries have not come back. */
    fun expire(nowMs: Long) {
        val gone = missingSinceMs.filterValues { nowMs - it >= MISSING_GRACE_MS }.keys
        if (gone.isEmpty()) return
        gone.toList().forEach { remove(it, "missing") }
        onChanged()
    }

    /** Takes what a server itself or a peer says of its layers, if that is newer. */
    fun learnLayers(
        instanceId: String,
        bornAtMs: Long,
        orderCount: Long,
        layers: LayerRange?
    ): Boolean {
        val known = servers[instanceId] ?: return false
        val isNewer = bornAtMs > known.bornAtMs ||
            bornAtMs == known.bornAtMs && orderCount >= known.orderCount
        if (!isNewer || known.layers == layers && known.orderCount == orderCount) return false
        servers[instanceId] =
            known.copy(bornAtMs = bornAtMs, orderCount = orderCount, layers = layers)
        learntAtMs[instanceId] = clockMs()
        log.event(
            "layers_learnt",
            "server" to instanceId,
            "orders" to orderCount,
            "layers" to (layers ?: "none")
        )
        onChanged()
        return true
    }

    /** Takes the servers that a peer knows, while the store is out of reach. */
    fun follow(seen: List<BackendServer>) {
        seen.forEach { put(it) }
        val seenIds = seen.map { it.instanceId }.toSet()
        servers.keys.filter { it !in seenIds }.forEach { missingSinceMs.putIfAbsent(it, clockMs()) }
        onChanged()
    }

    private fun put(next: BackendServer) {
        missingSinceMs.remove(next.instanceId)
        val known = servers[next.instanceId]
        val isOlder = known != null && known.bornAtMs == next.bornAtMs &&
            known.orderCount > next.orderCount
        val merged =
            if (known != null && isOlder) {
                next.copy(layers = known.layers, orderCount = known.orderCount)
            } else {
                next
            }
        servers[next.instanceId] = merged
        if (known == null || known.state != merged.state || known.bornAtMs != merged.bornAtMs) {
            log.event(
                "server_known",
                "server" to next.instanceId,
                "address" to next.address,
                "zone" to next.zone,
                "state" to next.state.name.lowercase(),
                "accelerator" to next.accelerator,
                "layers" to (merged.layers ?: "none")
            )
        }
    }

    private fun remove(instanceId: String, cause: String) {
        missingSinceMs.remove(instanceId)
        learntAtMs.remove(instanceId)
        val gone = servers.remove(instanceId) ?: return
        log.event("server_gone", "server" to instanceId, "address" to gone.address, "cause" to cause)
    }

    private fun decode(item: StoreItem): BackendServer? =
        when (val decoded = decodeServer(item.key, item.value)) {
            is Decoded.Readable -> decoded.value
            is Decoded.Unreadable -> {
                log.event("server_unreadable", "key" to item.key, "fault" to decoded.fault)
                null
            }
        }

    private companion object {
        /** Entries of living servers are back within about 2 s of the store's return. */
        const val MISSING_GRACE_MS = 2_200L
    }
}
