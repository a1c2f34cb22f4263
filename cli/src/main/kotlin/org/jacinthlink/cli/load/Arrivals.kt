package org.jacinthlink.cli.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the sends of a stream of work are spread over time. */
@Serializable
enum class Arrivals {
    /** Equal gaps. */
    @SerialName("even")
    EVEN,

    /** Exponential gaps with the same mean, as independent callers make them. */
    @SerialName("poisson")
    POISSON
}
