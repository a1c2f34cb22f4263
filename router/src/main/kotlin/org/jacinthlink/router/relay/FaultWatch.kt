package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.platform.fleet.ServerHealth
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ServerDirectory
import org.jacinthlink.transport.EventLoop

/**
 * Backend servers that are out of use until they answer or take work again.
 *
 * A silent server is asked for a report, which any living engine gives at once. A server that turns
 * requests away is asked for its health, because the store may be unable to tell that it drains.
 */
internal class FaultWatch(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val probe: EngineProbe,
    private val paces: PaceWatch,
    private val servers: ServerDirectory,
    private val healthPath: (service: String) -> String?,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit,
    private val onSilent: (address: String) -> Unit
) {
    private val faults = HashMap<String, Fault>()
    private val asking = HashSet<String>()

    /** Addresses of servers that are out of use. */
    val failed: Set<String> get() = faults.keys.toSet()

    /** True if [address] is out of use. */
    fun isFailed(address: String): Boolean = address in faults

    /** True if the server at [address] does not answer. */
    fun isSilent(address: String): Boolean = faults[address]?.isLeaving == false

    /** True if the server at [address] turns requests away, though it lives. */
    fun isLeaving(address: String): Boolean = faults[address]?.isLeaving == true

    /** Asks [server] for its state; without an answer it is taken as failed. */
    fun check(server: BackendServer, cause: String) {
        if (!asking.add(server.address)) return
        probe.ask(server) { report ->
            asking.remove(server.address)
            if (report == null) {
                mark(server.address, isLeaving = false, cause)
            } else {
                heard(server, report)
            }
        }
    }

    /** Takes the word of a peer that [server] is silent, which own streams bear out. */
    fun believeSilent(server: BackendServer, cause: String) {
        if (!isFailed(server.address)) mark(server.address, isLeaving = false, cause)
    }

    private fun heard(server: BackendServer, report: EngineReport) {
        servers.learn(server, report)
        paces.heard(server, report)
        if (!isLeaving(server.address)) recovered(server.address)
    }

    /** Asks [server], which has turned a request away, whether it leaves. */
    fun checkHealth(server: BackendServer, cause: String) {
        val path = healthPath(server.service) ?: return
        if (!asking.add(server.address)) return
        engines.health(server, path, HEALTH_TIMEOUT_MS) { health ->
            asking.remove(server.address)
            when (health) {
                ServerHealth.SERVING -> recovered(server.address)
                ServerHealth.LEAVING -> mark(server.address, isLeaving = true, cause)
                ServerHealth.SILENT -> check(server, cause)
            }
        }
    }

    private fun mark(address: String, isLeaving: Boolean, cause: String) {
        val known = faults[address]
        if (known?.isLeaving != isLeaving) {
            faults[address] = Fault(known?.sinceMs ?: clockMs(), isLeaving)
            val kind = if (isLeaving) "leaves" else "silent"
            log.event("server_failed", "address" to address, "kind" to kind, "cause" to cause)
            onChanged()
            if (!isLeaving) onSilent(address)
        }
        askLater(address)
    }

    private fun askLater(address: String) {
        loop.schedule(RECHECK_MS) {
            val fault = faults[address]
            val server = servers.at(address)
            when {
                fault == null -> Unit
                server == null -> forget(address)
                fault.isLeaving -> checkHealth(server, "still leaving")
                else -> check(server, "still silent")
            }
        }
    }

    private fun forget(address: String) {
        faults.remove(address)
        onChanged()
    }

    private fun recovered(address: String) {
        val fault = faults.remove(address) ?: return
        log.event(
            "server_recovered",
            "address" to address,
            "failed_ms" to clockMs() - fault.sinceMs
        )
        onChanged()
    }

    private class Fault(val sinceMs: Long, val isLeaving: Boolean)

    private companion object {
        const val RECHECK_MS = 400L

        /** A health question may wait for a slot. */
        const val HEALTH_TIMEOUT_MS = 250L
    }
}
