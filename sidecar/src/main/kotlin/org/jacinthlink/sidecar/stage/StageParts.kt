package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.membership.Membership
import org.jacinthlink.runtime.supervision.Scope

/**
 * What a [StageDaemon] is made of.
 *
 * @property loadEngine Orders the engine to hold the layers of [holding].
 */
internal data class StageParts(
    val instance: InstanceId,
    val address: String,
    val availabilityZone: String,
    val holding: Holding.Stage,
    val engine: ModelEngine,
    val loadEngine: () -> EngineResult<Unit>,
    val client: PeerClient,
    val membership: Membership,
    val configuration: ConfigurationView,
    val scope: Scope,
    val clock: Clock,
    val events: EventLog,
    val stageLimits: StageLimits = StageLimits(),
    val headLimits: HeadLimits = HeadLimits(),
    val policy: SchedulingPolicy = SchedulingPolicy.Targets
)
