package org.jacinthlink.standins

import kotlinx.serialization.Serializable
import org.jacinthlink.api.LoadOrder

/**
 * Settings of the engine stand-in.
 *
 * @property initial Layers that the engine holds after its start and after a crash.
 * @property checksFence True to refuse load orders with a fencing number below the highest seen.
 * @property crashWord Input of a position that makes the engine crash: a prompt token for a first
 *   range, an activation for any other.
 * @property crashDownMs Time without service after a crash; null to exit the process.
 * @property loadReportLagMs Age of the load report.
 * @property historyRequests Number of latest requests whose executions are kept.
 */
@Serializable
data class EngineSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val initial: LoadOrder? = null,
    val speed: EngineSpeed = EngineSpeed(),
    val checksFence: Boolean = true,
    val crashWord: String? = null,
    val crashDownMs: Long? = DEFAULT_CRASH_DOWN_MS,
    val loadReportLagMs: Long = 0,
    val historyRequests: Int = DEFAULT_HISTORY_REQUESTS
)

private const val DEFAULT_CRASH_DOWN_MS = 1_000L
private const val DEFAULT_HISTORY_REQUESTS = 20_000
