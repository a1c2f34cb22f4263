package org.jacinthlink.decision.limits

/**
 * Keeps the requests of each workspace with a quota within its rate over all routers.
 *
 * Load patterns: one workspace takes the capacity of all others; its requests are spread unevenly
 * over the routers, or all arrive at one; routers start, vanish or are not heard from.
 *
 * Each router decides alone, without an exchange for each request, from its own counts and the
 * latest ones of its peers. The admitted requests of all routers exceed the rate by the burst, and
 * by what arrives before the peers have heard of it, at most.
 */
class WorkspaceQuotas internal constructor() {
    private var quotas: Map<String, TimedQuota> = emptyMap()
    private val buckets = HashMap<String, WorkspaceBucket>()
    private var peers = PeerCount(0, 0)

    /**
     * Applies [newQuotas] by workspace; [ANY_WORKSPACE] stands for those without an own entry.
     * Workspaces that keep an entry keep their tokens and counts.
     */
    fun replace(newQuotas: Map<String, WorkspaceQuota>, nowMs: Long) {
        quotas = newQuotas.mapValues { (name, quota) ->
            TimedQuota(quota, quotas[name]?.sinceMs ?: nowMs)
        }
        buckets.keys.removeIf { quotaOf(it) == null }
        buckets.forEach { (name, bucket) ->
            quotaOf(name)?.let { bucket.replaceQuota(it.quota, peers, nowMs) }
        }
    }

    /** Decides on a request of [workspace]; one without a quota is admitted. */
    fun decide(workspace: String, nowMs: Long): QuotaDecision =
        bucketOf(workspace, nowMs)?.decide(peers, nowMs) ?: QuotaDecision.Admitted

    /** Use of the quotas at this router, of workspaces with recent requests, the busiest first. */
    fun uses(nowMs: Long): List<WorkspaceUse> =
        buckets.map { (name, bucket) -> bucket.use(name, nowMs) }
            .filter { it.arrivals > 0 }
            .sortedByDescending { it.arrivals }

    /** Takes over the latest use of the other routers. */
    fun updatePeers(use: PeerWorkspaceUse, nowMs: Long) {
        val count = PeerCount(use.uses.size, use.knownCount)
        peers = count
        if (quotas.isEmpty()) return
        val usesByWorkspace = HashMap<String, MutableMap<RouterStart, WorkspaceUse>>()
        use.uses.forEach { (peer, uses) ->
            uses.forEach { usesByWorkspace.getOrPut(it.workspace) { HashMap() }[peer] = it }
        }
        // A bucket counts the use of peers also before the first request at this router.
        usesByWorkspace.keys.forEach { bucketOf(it, nowMs) }
        buckets.forEach { (name, bucket) ->
            bucket.updatePeers(usesByWorkspace[name].orEmpty(), count, nowMs)
        }
        buckets.values.removeIf { it.isUnused(count, nowMs) }
    }

    private fun bucketOf(workspace: String, nowMs: Long): WorkspaceBucket? {
        val quota = quotaOf(workspace) ?: return null
        return buckets.getOrPut(workspace) { WorkspaceBucket(quota.quota, quota.sinceMs, nowMs) }
    }

    private fun quotaOf(workspace: String): TimedQuota? =
        quotas[workspace] ?: quotas[ANY_WORKSPACE]

    private class TimedQuota(val quota: WorkspaceQuota, val sinceMs: Long)

    companion object {
        /** Name of the entry for each workspace without an entry of its own. */
        const val ANY_WORKSPACE = "*"
    }
}

/** Creates a record without quotas, which admits all requests. */
fun workspaceQuotas(): WorkspaceQuotas = WorkspaceQuotas()
