package org.jacinthlink.cli.experiment

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.admin.AdminAnswer
import org.jacinthlink.cli.admin.AdminClient
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.load.peerCall
import org.jacinthlink.cli.site.Launcher
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.SiteEntry
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.standins.ProxyFaults
import org.jacinthlink.standins.ProxyListenerSettings
import org.jacinthlink.standins.startFaultProxy

/** The running system of a scenario, with a delay between its callers and its entries. */
internal class ExperimentSite(private val scenario: Scenario, launcher: Launcher) :
    AutoCloseable {
    private val site = LocalSite(scenario.site, launcher)
    private val clientLinks = startFaultProxy()
    private val client = peerClient()

    /** URLs at which callers reach the entries. */
    val entryUrls: List<String> get() =
        site.entries.map { "http://${clientLinks.addressOf(it.name)}" }

    /** Starts all daemons and waits until each entry answers. */
    fun start() {
        site.start()
        site.entries.forEach(::addClientLink)
        val processes =
            site.entries.map { it.process } + site.stages.map { it.sidecar } +
                site.services.map { it.sidecar }
        processes.forEach { awaitHealthy(it.address) }
        scenario.site.classes.forEach(::put)
        site.entries.forEach(::awaitAnswer)
    }

    /** Brings [fault] about. */
    fun inject(fault: Fault) =
        when (fault) {
            is Fault.KilledStage -> site.stages.first { it.name == fault.name }.sidecar.stop()
            is Fault.LostZone -> loseZone(fault.zone)
        }

    /** Undoes [fault], if that is possible, and waits until the system is whole again. */
    fun repair(fault: Fault) =
        when (fault) {
            is Fault.KilledStage -> restart(fault.name)
            is Fault.LostZone -> Unit
        }

    override fun close() {
        site.close()
        clientLinks.stop()
        client.close()
    }

    private fun addClientLink(entry: SiteEntry) {
        clientLinks.addListener(ProxyListenerSettings(entry.name, entry.process.address))
        clientLinks.setFaults(entry.name, ProxyFaults(delayMs = scenario.clientDelayMs))
    }

    private fun loseZone(zone: String) {
        val lostEntries = site.entries.filter { it.settings.daemon.availabilityZone == zone }
        val lostStages = site.stages.filter { it.settings.daemon.availabilityZone == zone }
        val lostServices = site.services.filter { it.settings.daemon.availabilityZone == zone }
        val ends =
            lostEntries.map { entry ->
                {
                    entry.process.stop()
                    clientLinks.setFaults(entry.name, ProxyFaults(refuse = true))
                    clientLinks.cutAll(entry.name)
                }
            } + lostStages.map { stage -> { stage.sidecar.stop() } } +
                lostStages.map { stage -> { stage.engine.stop() } } +
                lostServices.map { service -> { service.sidecar.stop() } }
        ends.map { end -> Thread(end).apply { start() } }.forEach { it.join() }
    }

    private fun restart(name: String) {
        val index = site.stages.indexOfFirst { it.name == name }
        val stage = site.stages[index]
        val restarted = site.restartSidecar(stage.settings)
        site.stages[index] = stage.copy(sidecar = restarted)
        awaitHealthy(restarted.address)
        Thread.sleep(REJOIN_MS)
    }

    private fun put(workClass: WorkClass) {
        val admin =
            AdminClient(site.entries[0].process.address, LocalSite.OPERATOR_TOKEN, client)
        val body = ProtocolJson.encodeToString(WorkClass.serializer(), workClass)
        val answer = admin.call("PUT", "/v1/admin/classes/${workClass.name}", body)
        check(answer is AdminAnswer.Ok) { "class ${workClass.name} was not set: $answer" }
    }

    private fun awaitHealthy(address: String) =
        await("$address is healthy") {
            val result = client.call(PeerCall("GET", "http://$address/health"), CALL_TIMEOUT_MS)
            result is PeerResult.Answered && result.isSuccess
        }

    private fun awaitAnswer(entry: SiteEntry) {
        val work =
            LoadStream(
                "ready",
                scenario.workspaces.first(),
                scenario.low.workClass,
                ratePerSecond = 1.0,
                stopSecond = 1.0,
                model = scenario.model,
                maxTokens = 1
            )
        val call =
            peerCall(ScheduledRequest(0, work, 0), "http://${entry.process.address}", "ready")
        await("${entry.name} routes requests") {
            val result = client.call(call, CALL_TIMEOUT_MS)
            result is PeerResult.Answered && result.isSuccess && "[DONE]" in result.body
        }
    }

    private fun await(what: String, condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + START_TIMEOUT_MS * NANOS_PER_MS
        while (!condition()) {
            check(System.nanoTime() < deadlineNs) { "not within $START_TIMEOUT_MS ms: $what" }
            Thread.sleep(POLL_MS)
        }
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 2_000L
        const val START_TIMEOUT_MS = 60_000L
        const val POLL_MS = 50L
        const val NANOS_PER_MS = 1_000_000L

        // Two polls of the instance list, so that all heads know the restarted stage.
        const val REJOIN_MS = 4_000L
    }
}
