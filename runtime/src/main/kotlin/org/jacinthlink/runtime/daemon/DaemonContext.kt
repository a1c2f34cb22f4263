package org.jacinthlink.runtime.daemon

import io.micrometer.core.instrument.MeterRegistry
import org.jacinthlink.api.InstanceId
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationEditor
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.membership.Membership
import org.jacinthlink.runtime.supervision.Scope

/** What the shell offers to the logic of its daemon. */
interface DaemonContext {
    val settings: DaemonSettings

    /** Id of this process; new with each start. */
    val instance: InstanceId

    /** Address by which peers reach this process. Known once the server listens. */
    val address: String

    val clock: Clock

    /** Root of the supervisor tree. It closes after the server. */
    val scope: Scope

    val eventLog: EventLog

    val meters: MeterRegistry

    /** Client for peers. It adds the peer token, so it must not call anything else. */
    val peerClient: PeerClient

    /** Client for backend servers and the platform. It adds no headers. */
    val externalClient: PeerClient

    val platform: DaemonPlatform

    val membership: Membership

    val configuration: ConfigurationView

    val configurationEditor: ConfigurationEditor

    /** True once a graceful stop began; new work is then refused with `DRAINING`. */
    val draining: Boolean
}
