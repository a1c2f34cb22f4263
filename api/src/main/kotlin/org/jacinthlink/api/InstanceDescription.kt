package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Description of a process, which it returns on `GET /v1/describe`.
 *
 * @property address Host and port of the process, such as `127.0.0.1:7101`.
 * @property holding What its backend server serves; absent for entries.
 * @property ready False while the backend server cannot be reached.
 */
@Serializable
data class InstanceDescription(
    val instance: InstanceId,
    val role: Role,
    val address: String,
    val availabilityZone: String,
    val configurationRevision: Long,
    val ready: Boolean = true,
    val draining: Boolean = false,
    val holding: Holding? = null,
    val load: LoadReport? = null
)
