package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.RerouteStatus
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.StreamKey

/** Puts a new route of a stream in force, on the stages before the last change. */
internal class Rerouter(private val runner: StageRunner, private val peers: StagePeers) {
    /**
     * Informs the first [count] stages of [route] in order. The order matters: a stage that knows
     * the new epoch refuses messages of a stage before it that does not know it yet.
     */
    fun apply(stream: StreamKey, epoch: Int, route: List<RouteStage>, count: Int): RerouteResult {
        for (index in 0 until count) {
            val order = Reroute(stream, epoch, route.drop(index + 1))
            val status =
                if (index == 0) {
                    runner.reroute(order)
                } else {
                    when (val reply = peers.reroute(route[index].address, order)) {
                        is PeerReply.Answered -> reply.value.status
                        is PeerReply.Failed ->
                            return RerouteResult.Unreachable(route[index].instance, reply.isLost)
                    }
                }
            if (status == RerouteStatus.NOT_RETAINED) return RerouteResult.NotRetained
        }
        return RerouteResult.Applied
    }
}

/** Result of [Rerouter.apply]. */
internal sealed interface RerouteResult {
    data object Applied : RerouteResult

    /** [stage] did not answer; [isLost] if no message reaches it. */
    data class Unreachable(val stage: InstanceId, val isLost: Boolean) : RerouteResult

    data object NotRetained : RerouteResult
}
