package org.jacinthlink.router

import kotlinx.serialization.Serializable
import org.jacinthlink.router.state.PrefixWatcher
import org.jacinthlink.runtime.settings.Validation
import org.jacinthlink.transport.parseAddress

/**
 * Settings of a router.
 *
 * @property instance Name of this instance, unique in the fleet.
 * @property clients `IP:PORT` for client requests.
 * @property readiness `IP:PORT` for readiness checks.
 * @property host Address of this instance for other routers.
 * @property peerPort Port for gossip between routers (UDP) and for snapshots (TCP), the same on
 *   each instance.
 * @property metricsPort TCP port of the metrics.
 * @property seeds `IP:PORT` of instances that may be running; only the IP is used.
 * @property store `IP:PORT` of the platform's store.
 * @property shutdownGraceS Time between SIGTERM and SIGKILL, in seconds.
 * @property configurationApplyMs Time within which a change in the store takes effect, in ms.
 * @property serverDrainMs Time for which a draining backend server continues to serve.
 * @property workspaceQuotas Limits on the requests of workspaces; none are limited if it is empty.
 */
@Serializable
data class RouterSettings(
    val instance: String,
    val availabilityZone: String,
    val clients: String,
    val readiness: String,
    val host: String,
    val peerPort: Int,
    val metricsPort: Int,
    val seeds: List<String> = emptyList(),
    val store: String,
    val shutdownGraceS: Double = 8.0,
    val configurationApplyMs: Long = 2_000,
    val serverDrainMs: Long = 2_000,
    val retryBudget: RetryBudgetSettings = RetryBudgetSettings(),
    val workspaceQuotas: List<WorkspaceQuotaSettings> = emptyList()
) {
    /** Waiting time of a call for changes if this router is to notice silent connections soon. */
    internal val shortWatchMs: Long
        get() = configurationApplyMs.coerceIn(MIN_WATCH_MS, PrefixWatcher.MAX_WAIT_MS)
}

/** With shorter waits, most calls to the store would be renewals of watches. */
private const val MIN_WATCH_MS = 500L

/**
 * Limit on retries of requests, over all routers.
 *
 * @property ratio Retries for each request of the window.
 * @property windowS Length of the window in seconds.
 * @property extra Retries that are allowed in each window in addition to those by [ratio].
 */
@Serializable
data class RetryBudgetSettings(
    val ratio: Double = 0.1,
    val windowS: Double = 10.0,
    val extra: Double = 100.0
) {
    internal val windowMs: Long get() = (windowS * MS_PER_S).toLong()

    private companion object {
        const val MS_PER_S = 1_000
    }
}

/** Checks constraints that the types of [RouterSettings] cannot express. */
internal fun Validation.check(settings: RouterSettings) {
    checkAddress("clients", settings.clients)
    checkAddress("readiness", settings.readiness)
    checkAddress("store", settings.store)
    check("configurationApplyMs", settings.configurationApplyMs > 0) {
        "must be positive, but is ${settings.configurationApplyMs}"
    }
    settings.seeds.forEachIndexed { i, seed -> checkAddress("seeds[$i]", seed) }
    checkWorkspaceQuotas(settings.workspaceQuotas)
}

private fun Validation.checkAddress(path: String, value: String) {
    check(path, parseAddress(value) != null) { "must be IP:PORT, but is \"$value\"" }
}
