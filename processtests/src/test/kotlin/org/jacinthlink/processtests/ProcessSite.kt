package org.jacinthlink.processtests

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.entry.admin.StatusAnswer
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

/** A site whose daemons are operating-system processes. */
class ProcessSite(plan: SitePlan = demoPlan()) : AutoCloseable {
    val launcher = TestLauncher()
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
     * As a platform does, it goes on once each new process is healthy.
     */
    fun restart(names: List<String>) {
        val old = names.map(::process)
        old.forEach { it.drain() }
        old.forEach { check(it.awaitEnd(40_000)) { "${it.name} does not end" } }
        startAgain(names)
    }

    /** Starts [names] again, which have ended, and waits until they are healthy. */
    fun startAgain(names: List<String>) {
        names.forEach(::launchAgain)
        names.forEach { process(it).awaitHealthy() }
    }

    /** Waits until entries and heads use all stages of the plan. */
    fun awaitWhole() {
        val speed = site.plan.pipelines.sumOf { line -> line.stages.minOf { it.tokensPerSecond } }
        val sidecars = site.stages.size + site.services.size
        val heads = site.stages.filter { it.holding.firstLayer == 0 }.map { it.name }
        eventually("all stages are in use again", 30_000) {
            site.entries.all { boundAt(it.process.address) >= speed } &&
                heads.all { metric(it, INSTANCES) >= sidecars - 1 }
        }
    }

    /** Highest flow of the models by the entry at [entry]; 0 if it does not answer. */
    private fun boundAt(entry: String): Double {
        val answer = admin(entry, "GET", "/v1/admin/status") as? PeerResult.Answered ?: return 0.0
        val status = ProtocolJson.decodeFromString(StatusAnswer.serializer(), answer.body)
        return status.models.sumOf { it.boundTokensPerSecond }
    }

    /** Value of [meter] of process [name]; 0 if it does not answer. */
    fun metric(name: String, meter: String): Long {
        val call = PeerCall("GET", "http://${process(name).address}/metrics")
        val answer = client.call(call, 2_000, fresh = true) as? PeerResult.Answered
        return answer?.body.orEmpty().lines()
            .firstOrNull { it.startsWith("$meter ") }
            ?.substringAfter(' ')?.toDouble()?.toLong() ?: 0
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

    private companion object {
        const val INSTANCES = "jacinthlink_membership_instances"
    }
}

/** Executions of the booking [reference] over all order desks. */
fun ProcessSite.bookings(reference: String): Int =
    site.services.sumOf { it.service.executions["bookings/$reference"] ?: 0 }
