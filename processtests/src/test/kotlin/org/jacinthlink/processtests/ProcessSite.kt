package org.jacinthlink.processtests

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

/** A site whose daemons are operating-system processes. */
class ProcessSite(plan: SitePlan = demoPlan()) : AutoCloseable {
    val launcher = ProcessLauncher()
    val site = LocalSite(plan, launcher)
    private val client = peerClient()

    /** Starts all processes, applies the classes of the plan and waits for the first answers. */
    fun start(): ProcessSite {
        site.start()
        launcher.processes.values.forEach { it.awaitHealthy() }
        site.plan.classes.forEach { putClass(entryAddress(0), it) }
        site.entries.forEach { entry ->
            eventually("${entry.name} routes requests", 20_000) {
                val answer = Caller(entry.process.address).chat(Question("ready", maxTokens = 1))
                answer is PeerResult.Answered && answer.isSuccess
            }
        }
        return this
    }

    fun entryAddress(index: Int): String = site.entries[index].process.address

    fun caller(entry: Int = 0, workspace: String = "shop-1") =
        Caller(entryAddress(entry), workspace)

    fun process(name: String): JvmProcess = launcher.processes.getValue(name)

    /**
     * Stops [names] gracefully, all at once, and starts each again with its settings.
     *
     * As a platform does, it goes on once each new process is healthy and serves its peers.
     */
    fun restart(names: List<String>) {
        val old = names.map(::process)
        old.forEach { it.drain() }
        old.forEach { check(it.awaitEnd(40_000)) { "${it.name} does not end" } }
        startAgain(names)
    }

    /** Starts [names] again, which have ended, and waits until their peers use them. */
    fun startAgain(names: List<String>) {
        names.forEach(::launchAgain)
        names.forEach { process(it).awaitHealthy() }
    }

    private fun launchAgain(name: String): RunningProcess {
        val sidecars = site.stages.map { it.settings } + site.services.map { it.settings }
        val sidecar = sidecars.firstOrNull { it.daemon.name == name }
        return if (sidecar != null) {
            launcher.sidecar(sidecar)
        } else {
            launcher.entry(site.entries.first { it.name == name }.settings)
        }
    }

    /** Changes a class through the entry at [entry]. */
    fun putClass(entry: String, workClass: WorkClass, ifMatch: Long? = null): PeerResult {
        val body = ProtocolJson.encodeToString(WorkClass.serializer(), workClass)
        return admin(entry, "PUT", "/v1/admin/classes/${workClass.name}", body, ifMatch)
    }

    /** Configuration in force on the entry at [entry]. */
    fun configuration(entry: String): Configuration {
        val answer = admin(entry, "GET", "/v1/admin/config") as PeerResult.Answered
        return ProtocolJson.decodeFromString(Configuration.serializer(), answer.body)
    }

    fun admin(
        entry: String,
        method: String,
        path: String,
        body: String? = null,
        ifMatch: Long? = null
    ): PeerResult {
        val headers =
            mapOf("authorization" to "Bearer ${LocalSite.OPERATOR_TOKEN}") +
                (ifMatch?.let { mapOf("If-Match" to "$it") }.orEmpty())
        return client.call(PeerCall(method, "http://$entry$path", body, headers), 15_000, true)
    }

    override fun close() {
        launcher.processes.values.forEach { it.stop() }
        site.close()
    }
}

/** Executions of the booking [reference] over all order desks. */
fun ProcessSite.bookings(reference: String): Int =
    site.services.sumOf { it.service.executions["bookings/$reference"] ?: 0 }
