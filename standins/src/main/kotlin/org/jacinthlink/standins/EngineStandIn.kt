package org.jacinthlink.standins

import org.jacinthlink.api.RequestId
import org.jacinthlink.runtime.RunningProcess

/** A running engine stand-in. */
interface EngineStandIn : RunningProcess {
    /** Inputs of any request that did not continue their stream since the start. */
    val orderViolations: Int

    /** Crashes since the start. */
    val crashes: Int

    /** What ran for [requestId]. The record survives crashes of the engine. */
    fun executions(requestId: RequestId): EngineExecutions

    /** Changes the speed from the next step on. */
    fun setSpeed(speed: EngineSpeed)

    /** Drops all connections and the KV state, and refuses connections for [downMs]. */
    fun crash(downMs: Long)
}

/** Starts a stand-in of a model engine that holds a range of layers. */
fun startEngineStandIn(settings: EngineSettings): EngineStandIn = EngineServer(settings)
