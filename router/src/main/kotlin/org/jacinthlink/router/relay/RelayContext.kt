package org.jacinthlink.router.relay

import org.jacinthlink.decision.retry.SharedRetryBudget
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.RouterMetrics
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HttpClient

/** Log and metrics of the process. */
internal class Telemetry(val log: DecisionLog, val metrics: RouterMetrics)

/** Dependencies that all relays of the process share. */
internal class RelayContext(
    val loop: EventLoop,
    val http: HttpClient,
    private val telemetry: Telemetry,
    val servers: ServerRegistry,
    val failureDetector: FailureDetector,
    val paths: PathTable,
    private val admissions: RequestAdmission,
    val retryBudget: SharedRetryBudget,
    val notices: ServerNotices,
    val contents: ContentMonitor,
    val clockMs: () -> Long
) {
    val admission: StreamAdmission get() = admissions.streams
    val plainAdmission: PlainAdmission get() = admissions.plain
    val loadBalancer: PlainLoadBalancer get() = admissions.loadBalancer
    val log: DecisionLog get() = telemetry.log
    val metrics: RouterMetrics get() = telemetry.metrics
}
