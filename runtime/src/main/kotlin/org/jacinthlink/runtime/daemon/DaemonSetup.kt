package org.jacinthlink.runtime.daemon

import org.jacinthlink.api.InstanceList
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.Role
import org.jacinthlink.decision.configuration.applyChange
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ApplyChange
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.systemClock

/**
 * What a daemon is started with.
 *
 * @property platform Makes the adapters to the platform from a client that adds no headers.
 * @property applyChange Makes the document that follows from a configuration change.
 * @property interest Instances that the daemon needs to know; the others are never described.
 * @property stopOnSignal True to begin a graceful stop on SIGTERM.
 */
class DaemonSetup(
    val settings: DaemonSettings,
    val role: Role,
    val platform: (PeerClient) -> DaemonPlatform,
    val applyChange: ApplyChange = ::applyChange,
    val interest: (ListedInstance) -> Boolean = { true },
    val limits: ServerLimits = ServerLimits(),
    val clock: Clock = systemClock(),
    val stopOnSignal: Boolean = false
)

/** Adapters to the services of the platform that every daemon uses. */
data class DaemonPlatform(val keyValue: KeyValueService, val instanceList: InstanceList)
