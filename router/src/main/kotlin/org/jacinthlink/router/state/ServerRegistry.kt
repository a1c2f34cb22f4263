package org.jacinthlink.router.state

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.platform.fleet.Decoded
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.SERVERS_PREFIX
import org.jacinthlink.platform.fleet.decodeServer
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.DecisionLog

/** The backend servers that are registered, with the newest that is known of their layers. */
internal class ServerRegistry(
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit
) : PrefixListener {
    private val servers = LinkedHashMap<String, BackendServer>()
    private val missingSinceMs = HashMap<String, Long>()
    private val learntAtMs = HashMap<String, Long>()
    private val foundAtMs = HashMap<String, Long>()

    /** Registered servers whose address has a later start, by instance id. */
    private val olderStarts = HashMap<String, BackendServer>()
    private var changes = emptyMap<String, LayerChange>()
    private var readyAddresses = emptySet<String>()

    /** All servers that may be used or are leaving. */
    val all: List<BackendServer> get() = servers.values.toList()

    /** Servers of [service] that take new work, with the layers that may be used. */
    fun ready(service: String): List<BackendServer> =
        servers.values
            .filter { it.service == service && it.state == ServerState.READY }
            .map { it.present() }

    /** Servers of [service] that are registered, whatever their state. */
    fun registered(service: String): List<BackendServer> =
        servers.values.filter { it.service == service }

    /** Server at [address], or null. */
    fun at(address: String): BackendServer? = servers.values.lastOrNull { it.address == address }

    /** Server with [instanceId], or null. */
    fun byId(instanceId: String): BackendServer? = servers[instanceId]

    /** True if the server at [address] drains or is gone. */
    fun isDraining(address: String): Boolean = address !in readyAddresses

    override fun onSnapshot(items: List<StoreItem>) {
        val seen = items.mapNotNull { decode(it) }
        log.event("servers_read", "count" to seen.size, "known" to servers.size)
        follow(seen)
    }

    override fun onChange(change: StoreChange) {
        when (change) {
            is StoreChange.Written -> decode(change.item)?.let { put(it) }
            is StoreChange.Removed -> leave(change.key.removePrefix(SERVERS_PREFIX), "removed")
        }
        changed()
    }

    /** Takes [seen] as all servers that there are; those that are missing have some time left. */
    fun follow(seen: List<BackendServer>) {
        seen.forEach { put(it) }
        val nowMs = clockMs()
        val seenIds = seen.map { it.instanceId }.toSet()
        olderStarts.keys.retainAll(seenIds)
        servers.keys.filter { it !in seenIds }.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        changed()
    }

    /**
     * Drops [instanceId], at whose address another server has said that it is not this one.
     *
     * Load pattern: a server starts again under a new id while the store is away, so that its
     * former entry stays and its new one is not known yet.
     */
    fun noteReplaced(instanceId: String) {
        leave(instanceId, "other instance at its address")
        changed()
    }

    /** Servers whose layers this process has found changed since [sinceMs], and when. */
    fun changedSince(sinceMs: Long): Map<BackendServer, Long> =
        foundAtMs.filterValues { it >= sinceMs }
            .mapNotNull { (id, atMs) -> servers[id]?.let { it to atMs } }
            .toMap()

    /** Drops servers whose entries have not come back. */
    fun expire(nowMs: Long) {
        val gone = missingSinceMs.filterValues { nowMs - it >= MISSING_GRACE_MS }.keys
        if (gone.isEmpty()) return
        gone.toList().forEach { leave(it, "missing") }
        changed()
    }

    /** Takes what a server itself told this process of its layers at [saidAtMs], if it is newer. */
    fun learnLayers(instanceId: String, bornAtMs: Long, layers: LayerRange?, saidAtMs: Long) {
        if (takeLayers(instanceId, bornAtMs, layers, saidAtMs)) foundAtMs[instanceId] = saidAtMs
    }

    /** Takes what a server told a peer of its layers at [saidAtMs], if that is newer. */
    fun hearLayers(instanceId: String, bornAtMs: Long, layers: LayerRange?, saidAtMs: Long) {
        takeLayers(instanceId, bornAtMs, layers, saidAtMs)
    }

    private fun takeLayers(
        instanceId: String,
        bornAtMs: Long,
        layers: LayerRange?,
        saidAtMs: Long
    ): Boolean {
        val known = servers[instanceId] ?: return false
        val learntBefore = learntAtMs[instanceId] ?: Long.MIN_VALUE
        val isOlder = bornAtMs == known.bornAtMs && saidAtMs < learntBefore
        if (bornAtMs < known.bornAtMs || isOlder) return false
        learntAtMs[instanceId] = saidAtMs
        if (known.layers == layers && known.bornAtMs == bornAtMs) return false
        servers[instanceId] = known.copy(bornAtMs = bornAtMs).withLayers(layers)
        log.event(
            "layers_learnt",
            "server" to instanceId,
            "layers" to (layers ?: "none"),
            "age_ms" to clockMs() - saidAtMs
        )
        changed()
        return true
    }

    /** Takes the layers of a [report] of [server], unless it is changing them. */
    fun applyReport(server: BackendServer, report: EngineReport) {
        if (report.isChangingLayers) return
        val saidAtMs = clockMs() - REPORT_LAG_MS
        learnLayers(server.instanceId, report.bornAtMs, report.layers, saidAtMs)
    }

    /** Takes [next] as the orders that are under way, by instance id. */
    fun noteChanges(next: Map<String, LayerChange>) {
        if (next == changes) return
        changes = next
        changed()
    }

    /** True if the server with [instanceId] carries out an order of the holder of the duty. */
    fun hasOrderInProgress(instanceId: String): Boolean = instanceId in changes

    private fun changed() {
        readyAddresses =
            servers.values.filter { it.state == ServerState.READY }.map { it.address }.toSet()
        onChanged()
    }

    private fun BackendServer.present(): BackendServer {
        val change = changes[instanceId] ?: return this
        return withChangeInProgress(change)
    }

    private fun put(next: BackendServer) {
        val others = servers.values.filter {
            it.address == next.address && it.instanceId != next.instanceId
        }
        if (others.any { it.bornAtMs > next.bornAtMs }) {
            remove(next.instanceId, "older start")
            olderStarts[next.instanceId] = next
            return
        }
        others.filter { it.bornAtMs < next.bornAtMs }.forEach {
            remove(it.instanceId, "started again as ${next.instanceId}")
            olderStarts[it.instanceId] = it
        }
        olderStarts.remove(next.instanceId)
        missingSinceMs.remove(next.instanceId)
        val known = servers[next.instanceId]
        val learntMs = learntAtMs[next.instanceId]
        val isLearntLately = learntMs != null && clockMs() - learntMs < ENTRY_AGE_MS
        val merged =
            if (known != null && known.bornAtMs == next.bornAtMs && isLearntLately) {
                next.withLayers(known.layers)
            } else {
                next
            }
        servers[next.instanceId] = merged
        if (known?.copy(slots = 0) != merged.copy(slots = 0)) {
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

    /** The clock of a machine may have been set back, so an older start may be the living one. */
    private fun leave(instanceId: String, cause: String) {
        val address = servers[instanceId]?.address
        olderStarts.remove(instanceId)
        remove(instanceId, cause)
        olderStarts.values.filter { it.address == address }.forEach { put(it.withLayers(null)) }
    }

    private fun remove(instanceId: String, cause: String) {
        missingSinceMs.remove(instanceId)
        learntAtMs.remove(instanceId)
        foundAtMs.remove(instanceId)
        val gone = servers.remove(instanceId) ?: return
        log.event(
            "server_gone",
            "server" to instanceId,
            "address" to gone.address,
            "cause" to cause
        )
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

        /** A report tells the state of some hundred ms ago. */
        const val REPORT_LAG_MS = 300L

        /** An entry may be as old as two heartbeats; what a server said since goes first. */
        const val ENTRY_AGE_MS = 2_500L
    }
}
