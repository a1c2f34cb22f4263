package org.jacinthlink.entry

import io.micrometer.core.instrument.MeterRegistry
import org.jacinthlink.api.InstanceId
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationEditor
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.membership.Membership
import org.jacinthlink.runtime.supervision.Scope

/**
 * What the parts of an entry work with.
 *
 * @property isDraining True once a graceful stop began.
 */
internal class EntryContext(
    val instance: InstanceId,
    val settings: EntrySettings,
    val clock: Clock,
    val scope: Scope,
    val eventLog: EventLog,
    meters: MeterRegistry,
    val peerClient: PeerClient,
    val membership: Membership,
    val configuration: ConfigurationView,
    val configurationEditor: ConfigurationEditor,
    val isDraining: () -> Boolean
) {
    val limits: EntryLimits get() = settings.limits
    val availabilityZone: String get() = settings.daemon.availabilityZone

    /** True once new requests are refused in a graceful stop. */
    @Volatile var isClosed = false

    private val startedAtMs = clock.nowMs()

    /** True while instances or classes of work may not be known yet, for a bounded time. */
    val isSettling: Boolean
        get() = !(membership.isComplete && configuration.isKnown) &&
            clock.nowMs() - startedAtMs < limits.settlingMs

    val metrics = EntryMetrics(meters, clock, configuration)

    /** For short calls beside requests, as probes. */
    val background = boundedExecutor(scope, "background", threads = 16, queued = 512)

    /** For questions to other entries on the runs of a content, for which requests wait. */
    val permits = boundedExecutor(scope, "permits", threads = 16, queued = 512)

    /** For calls to heads that may be dead, which must not hold up the probes. */
    val cancels = boundedExecutor(scope, "cancels", threads = 8, queued = 256)
}
