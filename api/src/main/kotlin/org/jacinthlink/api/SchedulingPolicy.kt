package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How entries spread requests over heads and how heads order them.
 *
 * The policies other than [Targets] are baselines for experiments. They have first-come queues
 * without classes or workspaces, and refuse a request only when its deadline has passed. Routes
 * behind a head and recovery from failures are the same in all policies.
 */
@Serializable
sealed interface SchedulingPolicy {
    /** Least expected wait; queues by the targets and the worth of classes. */
    @Serializable
    @SerialName("targets")
    data object Targets : SchedulingPolicy

    /** Each entry takes the heads in turn. */
    @Serializable
    @SerialName("round-robin")
    data object RoundRobin : SchedulingPolicy

    /** Each entry takes the head with the fewest of its own requests in flight. */
    @Serializable
    @SerialName("least-in-flight")
    data object LeastInFlight : SchedulingPolicy
}
