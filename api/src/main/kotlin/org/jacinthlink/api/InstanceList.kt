package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** The platform's list of instances. It lags behind the truth. */
interface InstanceList {
    /** Reads the list. */
    fun read(): InstanceListResult
}

/** One entry of the platform's instance list. */
@Serializable
data class ListedInstance(
    val instance: InstanceId,
    val role: Role,
    val address: String,
    val availabilityZone: String,
    val leaving: Boolean = false
)

/** Result of reading the instance list. */
sealed interface InstanceListResult {
    /** The list as the platform knows it. */
    data class Listed(val instances: List<ListedInstance>) : InstanceListResult

    /** The platform did not answer. */
    data class Unavailable(val message: String) : InstanceListResult
}
