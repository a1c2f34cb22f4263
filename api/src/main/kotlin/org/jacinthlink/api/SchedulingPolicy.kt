package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How entry processes distribute requests over heads, which are the sidecars of first stages, and
 * how heads order their queues.
 *
 * The policies other than [Targets] are baselines for experiments. They serve requests in order of
 * arrival, without regard to classes and workspaces, and refuse a request only after its deadline.
 * The route after the head and the recovery from failures are the same in all policies.
 */
@Serializable
sealed interface SchedulingPolicy {
    /**
     * Each entry chooses the head with the least expected wait. Heads order their queues by the
     * targets and the worth of classes.
     */
    @Serializable
    @SerialName("targets")
    data object Targets : SchedulingPolicy

    /** Each entry chooses the heads in turn. */
    @Serializable
    @SerialName("round-robin")
    data object RoundRobin : SchedulingPolicy

    /** Each entry chooses the head with the fewest in-flight requests of this entry. */
    @Serializable
    @SerialName("least-in-flight")
    data object LeastInFlight : SchedulingPolicy
}
