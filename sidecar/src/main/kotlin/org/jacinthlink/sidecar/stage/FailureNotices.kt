package org.jacinthlink.sidecar.stage

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.SuspectReport
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.membership.Membership

/**
 * Tells the other runners of a model of stages that failed, so that they probe these at once.
 *
 * A stage that exchanges no messages with a failed one learns of it by a round of descriptions
 * only, which takes seconds here and minutes in a large fleet. Only a head that saw the failure
 * sends, and the receivers trust nobody but their own probe.
 */
internal class FailureNotices(
    private val self: FlowStage,
    private val membership: Membership,
    private val peers: StagePeers,
    private val executor: ExecutorService,
    private val clock: Clock
) {
    private val sentAtMs = ConcurrentHashMap<InstanceId, Long>()

    /** Excludes [failed] here and has the other runners of the model probe them. */
    fun report(failed: Set<InstanceId>) {
        failed.forEach(membership::reportUnreachable)
        val nowMs = clock.nowMs()
        sentAtMs.values.removeIf { nowMs - it > REPEAT_MS }
        val fresh = failed.filter { sentAtMs.putIfAbsent(it, nowMs) == null }
        if (fresh.isEmpty()) return
        val receivers = membership.stagesWith(self).filter { isReceiver(it, failed) }
        val report = SuspectReport(fresh)
        receivers.forEach { executor.execute { peers.sendSuspects(it.address, report) } }
    }

    private fun isReceiver(stage: FlowStage, failed: Set<InstanceId>) =
        stage.instance != self.instance &&
            stage.instance !in failed &&
            stage.holding.model == self.holding.model

    private companion object {
        // All streams of a failed stage are reported one by one.
        const val REPEAT_MS = 2_000L
    }
}
