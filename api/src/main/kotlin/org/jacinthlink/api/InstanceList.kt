package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** The platform's list of instances, which lags behind the running instances. */
interface InstanceList {
    fun read(): InstanceListResult
}

/** Element of the platform's instance list. */
@Serializable
data class ListedInstance(
    val instance: InstanceId,
    val role: Role,
    val address: String,
    val availabilityZone: String,
    val leaving: Boolean = false
)

/** Result of [InstanceList.read]. */
sealed interface InstanceListResult {
    /** The platform returned [instances]. */
    data class Listed(val instances: List<ListedInstance>) : InstanceListResult

    /** The list could not be read. */
    data class Unavailable(val message: String) : InstanceListResult
}
