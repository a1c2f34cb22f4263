package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.router.DecisionLog
import org.jacinthlink.router.beliefs.ServerDirectory
import org.jacinthlink.transport.EventLoop

/** Backend servers that are taken as failed until they answer again. */
internal class FaultWatch(
    private val loop: EventLoop,
    private val engines: EngineClient,
    private val servers: ServerDirectory,
    private val log: DecisionLog,
    private val clockMs: () -> Long,
    private val onChanged: () -> Unit
) {
    private val failedSinceMs = HashMap<String, Long>()
    private val probing = HashSet<String>()

    /** Addresses of failed servers. */
    val failed: Set<String> get() = failedSinceMs.keys.toSet()

    /** True if [address] is taken as failed. */
    fun isFailed(address: String): Boolean = address in failedSinceMs

    /** Takes the engine at [address] as failed, and asks it until it answers. */
    fun fail(address: String, cause: String) {
        if (failedSinceMs.putIfAbsent(address, clockMs()) == null) {
            log.event("server_failed", "address" to address, "cause" to cause)
            onChanged()
        }
        probe(address, RECHECK_MS)
    }

    /** Asks the engine at [address] for its state; without an answer it is taken as failed. */
    fun check(server: BackendServer, cause: String) {
        if (!probing.add(server.address)) return
        engines.report(server, CHECK_TIMEOUT_MS) { report ->
            probing.remove(server.address)
            if (report == null) {
                fail(server.address, cause)
            } else {
                if (!report.isChangingLayers) {
                    val saidAtMs = clockMs() - REPORT_LAG_MS
                    servers.learnLayers(
                        server.instanceId, report.bornAtMs, report.layers, saidAtMs
                    )
                }
                recovered(server.address)
            }
        }
    }

    private fun probe(address: String, delayMs: Long) {
        if (!probing.add(address)) return
        loop.schedule(delayMs) {
            probing.remove(address)
            val server = servers.at(address)
            when {
                !isFailed(address) -> Unit
                server == null -> failedSinceMs.remove(address)
                else -> check(server, "still silent")
            }
        }
    }

    private fun recovered(address: String) {
        val sinceMs = failedSinceMs.remove(address) ?: return
        log.event("server_recovered", "address" to address, "failed_ms" to clockMs() - sinceMs)
        onChanged()
    }

    private companion object {
        const val RECHECK_MS = 400L

        /** A report tells the state of some hundred ms ago. */
        const val REPORT_LAG_MS = 300L

        /** An engine answers in a few ms; a lost packet is sent again after about 200 ms. */
        const val CHECK_TIMEOUT_MS = 120L
    }
}
