package org.jacinthlink.standins

import kotlinx.serialization.Serializable
import org.jacinthlink.api.ModelManifest

/**
 * Settings of the weight-store stand-in.
 *
 * @property callsPerSecond Calls over this rate get status 429; 0 sets no limit.
 */
@Serializable
data class WeightStoreSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val models: List<ModelManifest> = emptyList(),
    val callsPerSecond: Int = 0,
    val retryAfterSeconds: Int = 1
)
