package org.jacinthlink.cli.experiment

import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.load.peerCall
import org.jacinthlink.cli.site.Launcher
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.SiteEntry
import org.jacinthlink.cli.site.SiteStart
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
    private val siteStart = SiteStart(site, client)

    /** URLs at which callers reach the entries. */
    val entryUrls: List<String> get() =
        site.entries.map { "http://${clientLinks.addressOf(it.name)}" }

    /** Starts all daemons and waits until each entry answers. */
    fun start() {
        siteStart.start()
        site.entries.forEach(::addClientLink)
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
        siteStart.awaitHealthy(restarted.address)
        Thread.sleep(REJOIN_MS)
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
        siteStart.awaitAnswer("${entry.name} routes requests", call, "[DONE]")
    }

    private companion object {
        // Two polls of the instance list, so that all heads know the restarted stage.
        const val REJOIN_MS = 4_000L
    }
}
