package org.jacinthlink.cli.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One stream of work. Either [model] or [service] is set.
 *
 * @property path Path within the service, as `bookings`.
 * @property method HTTP method of a plain call. Methods other than GET carry an idempotency key and
 *   a body with the same reference.
 * @property promptTokens Words of the prompt.
 * @property startSecond Second of the run in which the stream begins.
 * @property stopSecond Second of the run at which the stream ends.
 * @property verifyLayerCount Number of layers of [model] on engine stand-ins; if set, each answer
 *   is compared with the reference answer.
 * @property callTimeoutMs Replaces the one of the plan.
 */
@Serializable
data class LoadStream(
    val name: String,
    val workspace: String,
    @SerialName("class") val workClass: String,
    val ratePerSecond: Double,
    val stopSecond: Double,
    val startSecond: Double = 0.0,
    val model: String? = null,
    val service: String? = null,
    val path: String = "",
    val method: String = "POST",
    val promptTokens: Int = 16,
    val maxTokens: Int = 16,
    val verifyLayerCount: Int? = null,
    val callTimeoutMs: Long? = null
)
