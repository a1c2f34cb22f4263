package org.jacinthlink.router.state

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerChange
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.platform.fleet.Decoded
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.SERVERS_PREFIX
import org.jacinthlink.platform.fleet.decodeServer
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.DecisionLog

/** Registered backend servers, with the newest known state of their layers. */
internal class ServerRegistry(
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit
) : PrefixListener<BackendServer> {
    private val servers = LinkedHashMap<String, BackendServer>()
    private val missingSinceMs = HashMap<String, Long>()
    private val layersReportedAtMs = HashMap<String, Long>()
    private val layersObservedAtMs = HashMap<String, Long>()

    /** Registered servers whose address belongs to a server with a later start, by instance id. */
    private val olderStarts = HashMap<String, BackendServer>()
    private val drainAnnouncements = DrainAnnouncements()
    private var changes = emptyMap<String, LayerChange>()
    private var readyAddresses = emptySet<String>()

    /** All known servers, ready or draining. */
    val all: List<BackendServer> get() = servers.values.toList()

    /** Servers of [service] that accept new requests, with the layers that may be used. */
    fun ready(service: String): List<BackendServer> =
        servers.values
            .filter { it.service == service && it.state == ServerState.READY }
            .map { it.withOrderedChange() }

    /** Servers of [service] in any state. */
    fun registered(service: String): List<BackendServer> =
        servers.values.filter { it.service == service }

    /** Server at [address], or null if none is known. */
    fun at(address: String): BackendServer? = servers.values.lastOrNull { it.address == address }

    /** Server with [instanceId], or null if it is unknown. */
    fun byId(instanceId: String): BackendServer? = servers[instanceId]

    /** True if the server at [address] is draining or no longer known. */
    fun isDraining(address: String): Boolean = address !in readyAddresses

    /** Number of entries that could not be read so far. */
    var unreadableCount = 0L
        private set

    override fun onSnapshot(values: List<BackendServer>) {
        log.event("servers_read", "count" to values.size, "known" to servers.size)
        replaceAll(values)
    }

    override fun onChange(change: StoreChange) {
        when (change) {
            is StoreChange.Written -> {
                val server = decode(change.item)
                if (server == null) missing(change.key) else put(server)
            }
            is StoreChange.Removed -> deregister(change.key.removePrefix(SERVERS_PREFIX), "removed")
        }
        changed()
    }

    /** Replaces the servers by [seen]; those missing from it stay in use for a grace period. */
    fun replaceAll(seen: List<BackendServer>) {
        seen.forEach { put(it) }
        val nowMs = clockMs()
        val seenIds = seen.map { it.instanceId }.toSet()
        olderStarts.keys.retainAll(seenIds)
        servers.keys.filter { it !in seenIds }.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        changed()
    }

    /**
     * Drops [instanceId], because another server has answered at its address.
     *
     * Load pattern: a server restarts under a new id while the store is unavailable, so the entry
     * of its previous start remains and its new entry is not known yet.
     */
    fun removeReplaced(instanceId: String) {
        deregister(instanceId, "other instance at its address")
        changed()
    }

    /**
     * Records that [server] has announced that it is draining, so that it gets no new requests. An
     * announcement of an earlier start has no effect on a server that has restarted.
     */
    fun recordDraining(server: ServerStart, source: String) {
        if (!drainAnnouncements.record(server, clockMs())) return
        log.event("server_draining", "server" to server.instanceId, "source" to source)
        val known = servers[server.instanceId] ?: return
        servers[server.instanceId] = drainAnnouncements.applyTo(known)
        changed()
    }

    /** Servers that were recorded as draining since [sinceMs]. */
    fun drainingSince(sinceMs: Long): List<ServerStart> = drainAnnouncements.since(sinceMs)

    /** Servers whose layers this process has observed to change since [sinceMs], with the times. */
    fun changedSince(sinceMs: Long): Map<BackendServer, Long> =
        layersObservedAtMs.filterValues { it >= sinceMs }
            .mapNotNull { (id, atMs) -> servers[id]?.let { it to atMs } }
            .toMap()

    /** Drops servers whose entries have not returned within the grace period. */
    fun expire(nowMs: Long) {
        val gone = missingSinceMs.filterValues { nowMs - it >= MISSING_GRACE_MS }.keys
        if (gone.isEmpty()) return
        gone.toList().forEach { deregister(it, "missing") }
        changed()
    }

    /**
     * Records the layers that a server reported to this router at [reportedAtMs], unless a newer
     * report is known. A change is sent to the peers.
     */
    fun recordReportedLayers(
        instanceId: String,
        bornAtMs: Long,
        layers: LayerRange?,
        reportedAtMs: Long
    ) {
        if (updateLayers(instanceId, bornAtMs, layers, reportedAtMs)) {
            layersObservedAtMs[instanceId] = reportedAtMs
        }
    }

    /**
     * Records the layers that a server reported to a peer at [reportedAtMs], unless a newer report
     * is known.
     */
    fun recordGossipedLayers(
        instanceId: String,
        bornAtMs: Long,
        layers: LayerRange?,
        reportedAtMs: Long
    ) {
        updateLayers(instanceId, bornAtMs, layers, reportedAtMs)
    }

    private fun updateLayers(
        instanceId: String,
        bornAtMs: Long,
        layers: LayerRange?,
        reportedAtMs: Long
    ): Boolean {
        val known = servers[instanceId] ?: return false
        val lastReportedAtMs = layersReportedAtMs[instanceId] ?: Long.MIN_VALUE
        val isOlder = bornAtMs == known.bornAtMs && reportedAtMs < lastReportedAtMs
        if (bornAtMs < known.bornAtMs || isOlder) return false
        layersReportedAtMs[instanceId] = reportedAtMs
        if (known.layers == layers && known.bornAtMs == bornAtMs) return false
        servers[instanceId] = known.copy(bornAtMs = bornAtMs).withLayers(layers)
        log.event(
            "layers_learnt",
            "server" to instanceId,
            "layers" to (layers ?: "none"),
            "age_ms" to clockMs() - reportedAtMs
        )
        changed()
        return true
    }

    /** Records the layers in a [report] of [server], unless the server is changing them. */
    fun applyReport(server: BackendServer, report: EngineReport) {
        if (report.isChangingLayers) return
        val reportedAtMs = clockMs() - REPORT_LAG_MS
        recordReportedLayers(server.instanceId, report.bornAtMs, report.layers, reportedAtMs)
    }

    /** Replaces the layer changes of the orders in progress by [next], by instance id. */
    fun replaceOrderedChanges(next: Map<String, LayerChange>) {
        if (next == changes) return
        changes = next
        changed()
    }

    /** True if the server with [instanceId] is carrying out an order of the layout leader. */
    fun hasOrderInProgress(instanceId: String): Boolean = instanceId in changes

    private fun changed() {
        readyAddresses =
            servers.values.filter { it.state == ServerState.READY }.map { it.address }.toSet()
        onChanged()
    }

    private fun BackendServer.withOrderedChange(): BackendServer {
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
        val lastReportedAtMs = layersReportedAtMs[next.instanceId]
        val isReportRecent = lastReportedAtMs != null && clockMs() - lastReportedAtMs < ENTRY_AGE_MS
        val withLayers =
            if (known != null && known.bornAtMs == next.bornAtMs && isReportRecent) {
                next.withLayers(known.layers)
            } else {
                next
            }
        val merged = drainAnnouncements.applyToListed(withLayers)
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

    /**
     * Removes a server and puts back one with an older start at the same address: the clock of the
     * machine may have been set back, so the server that seems older may be the live one.
     */
    private fun deregister(instanceId: String, cause: String) {
        val address = servers[instanceId]?.address
        olderStarts.remove(instanceId)
        remove(instanceId, cause)
        olderStarts.values.filter { it.address == address }.forEach { put(it.withLayers(null)) }
    }

    private fun remove(instanceId: String, cause: String) {
        missingSinceMs.remove(instanceId)
        layersReportedAtMs.remove(instanceId)
        layersObservedAtMs.remove(instanceId)
        val gone = servers.remove(instanceId) ?: return
        log.event(
            "server_gone",
            "server" to instanceId,
            "address" to gone.address,
            "cause" to cause
        )
    }

    /** An unreadable entry names no server, so it counts as if it were missing. */
    private fun missing(key: String) {
        val instanceId = key.removePrefix(SERVERS_PREFIX)
        if (instanceId in servers) missingSinceMs.putIfAbsent(instanceId, clockMs())
    }

    override fun decode(item: StoreItem): BackendServer? =
        when (val decoded = decodeServer(item.key, item.value)) {
            is Decoded.Readable -> decoded.value
            is Decoded.Unreadable -> {
                unreadableCount++
                log.event(
                    "server_unreadable",
                    "key" to item.key,
                    "bytes" to item.value.size,
                    "fault" to decoded.fault
                )
                null
            }
        }

    private companion object {
        /** Entries of live servers return within about 2 s of the store's recovery. */
        const val MISSING_GRACE_MS = 2_200L

        /** A report describes the state of a few hundred ms ago. */
        const val REPORT_LAG_MS = 300L

        /** An entry may be as old as two heartbeats; a report not older than this is preferred. */
        const val ENTRY_AGE_MS = 2_500L
    }
}
