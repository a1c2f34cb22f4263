package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.router.peers.ServiceBacklog
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.EventLoop

/** Admission of all requests of a router whose servers are in [servers]. */
internal class RequestAdmission(
    loop: EventLoop,
    servers: ServerRegistry,
    throttle: ServerThrottle,
    paths: PathTable,
    failureDetector: FailureDetector,
    telemetry: Telemetry,
    clockMs: () -> Long
) {
    val streams = StreamAdmission(paths, failureDetector, telemetry, clockMs)
    val loadBalancer = PlainLoadBalancer(servers, throttle, telemetry.log)
    val plain = PlainAdmission(loop, loadBalancer, telemetry, clockMs)

    /** Requests that arrive, wait and start at this router, for its peers. */
    val backlogs: List<ServiceBacklog> get() = streams.backlogs + plain.backlogs

    /** Replaces what is known of the queues of the peers and of their requests in flight. */
    fun updatePeers(backlogs: PeerBacklogs, plainInFlight: Map<ServerStart, Int>) {
        streams.updatePeers(backlogs)
        plain.updatePeers(backlogs, plainInFlight)
    }

    /** Serves the queues; called periodically. */
    fun tick() {
        streams.tick()
        plain.tick()
    }
}
