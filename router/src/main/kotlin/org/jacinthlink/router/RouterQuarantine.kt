package org.jacinthlink.router

import org.jacinthlink.decision.quarantine.contentQuarantine
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.router.relay.ContentMonitor
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.relay.Telemetry
import org.jacinthlink.router.state.PresentTime
import org.jacinthlink.router.state.QuarantineStore
import org.jacinthlink.transport.EventLoop

/**
 * The parts of a router that keep contents from reaching the servers that they would end.
 *
 * @param isLeader True if this router writes the rejected contents to the store.
 * @param onRecorded Called when the peers should learn of lost servers at once.
 */
internal class RouterQuarantine(
    loop: EventLoop,
    store: StoreClient,
    telemetry: Telemetry,
    failureDetector: FailureDetector,
    isLeader: () -> Boolean,
    clockMs: () -> Long,
    onRecorded: () -> Unit
) {
    /** What this router and its peers know of harmful contents. */
    val contents = contentQuarantine()

    /** Records lost servers and begun requests. */
    val monitor =
        ContentMonitor(loop, contents, telemetry, failureDetector::isUnresponsive, onRecorded)

    private val stored =
        QuarantineStore(loop, store, contents, telemetry.log, isLeader) {
            PresentTime(clockMs(), System.currentTimeMillis())
        }

    /** Starts to read the contents that are rejected according to the store. */
    fun start() = stored.read()

    /** Brings the store up to date; called periodically. */
    fun tick() = stored.tick()
}
