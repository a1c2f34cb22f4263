package org.jacinthlink.sidecar.stage

/** Paths between entries and sidecars, and between sidecars. */
internal object StagePaths {
    const val STREAMS = "/v1/streams"
    const val LOAD = "/v1/load"
    const val HOPS = "/v1/hops"
    const val TOKENS = "/v1/tokens"
    const val FAULTS = "/v1/faults"
    const val SUSPECTS = "/v1/suspects"
    const val REROUTE = "/v1/reroute"
    const val RELEASE = "/v1/release"
    const val PROGRESS = "/v1/progress"
}
