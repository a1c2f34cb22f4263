package org.jacinthlink.router

import kotlinx.serialization.Serializable
import org.jacinthlink.runtime.settings.Validation
import org.jacinthlink.transport.parseAddress

/**
 * Settings of a router.
 *
 * @property instance Name of this instance, unique in the fleet.
 * @property clients `IP:PORT` for callers.
 * @property readiness `IP:PORT` for readiness questions.
 * @property host Address of this instance for other routers.
 * @property peerPort UDP port for news between routers, the same on each instance.
 * @property metricsPort TCP port of the metrics.
 * @property seeds `IP:PORT` of instances that may be up; only their IP is used.
 * @property store `IP:PORT` of the platform's store.
 * @property shutdownGraceS Time between SIGTERM and SIGKILL.
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
    val retryBudget: RetryBudgetSettings = RetryBudgetSettings()
)

/**
 * Bound on sends beyond the first of each request, over all routers.
 *
 * @property ratio Repeats for each request of the window.
 * @property windowS Length of the window.
 * @property extra Repeats that each window may have besides.
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

/** Checks what the types of [RouterSettings] cannot state. */
internal fun Validation.check(settings: RouterSettings) {
    checkAddress("clients", settings.clients)
    checkAddress("readiness", settings.readiness)
    checkAddress("store", settings.store)
    settings.seeds.forEachIndexed { i, seed -> checkAddress("seeds[$i]", seed) }
}

private fun Validation.checkAddress(path: String, value: String) {
    check(path, parseAddress(value) != null) { "must be IP:PORT, but is \"$value\"" }
}
