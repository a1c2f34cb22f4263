package org.jacinthlink.router

import org.jacinthlink.decision.configuration.KnownPeers
import org.jacinthlink.decision.configuration.StartupGate
import org.jacinthlink.router.state.ConfigurationCache

/** Determines when a starting router serves by the configuration that it has read. */
internal class Startup(
    private val configuration: ConfigurationCache,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val knownPeers: () -> KnownPeers
) {
    private val gate = StartupGate()
    private val startedAtMs = clockMs()
    private var isOver = false

    /** True once this router may serve; it then always may. */
    fun isServing(): Boolean {
        if (isOver) return true
        val nowMs = clockMs()
        val version = configuration.current?.version
        val peers = knownPeers()
        if (!gate.isOpen(nowMs, version, peers)) return false
        isOver = true
        log.event(
            "serving",
            "configuration" to version,
            "peer_configuration" to peers.newestVersion,
            "after_ms" to nowMs - startedAtMs
        )
        return true
    }
}
