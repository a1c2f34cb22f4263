package org.jacinthlink.cli.measure

import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.load.peerCall
import org.jacinthlink.cli.site.Launcher
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.SiteStart
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.platform.httpModelEngine
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.peerClient

/**
 * Measures what the system adds on a site of one pipeline, one entry and one plain service.
 *
 * Throws [IllegalStateException] if the site does not start or a request has no right answer.
 */
internal fun runOverhead(plan: OverheadPlan, launcher: Launcher): OverheadReport {
    val demo = demoPlan()
    val site =
        demo.copy(
            entries = 1,
            pipelines = demo.pipelines.take(1),
            services = demo.services.take(1).map { it.copy(zones = it.zones.take(1)) }
        )
    val client = peerClient()
    return try {
        LocalSite(site, launcher).use { measured(plan, it, client) }
    } finally {
        client.close()
    }
}

private fun measured(plan: OverheadPlan, site: LocalSite, client: PeerClient): OverheadReport {
    val work = overheadWork(site.plan, plan)
    start(site, client, work)
    val throughEntry = EntryCaller(client, entryUrl(site), work)
    val engines =
        site.stages
            .sortedBy { it.holding.firstLayer }
            .map { httpModelEngine(client, "http://${it.engine.address}") }
    val serviceUrl = "http://${site.services.first().service.address}"
    val direct = DirectCaller(client, engines, serviceUrl, work)
    val samples =
        List(plan.warmUpRequests + plan.requests) { alternated(it, throughEntry, direct) }
            .drop(plan.warmUpRequests)
    return overheadReport(plan, samples.map { it.first }, samples.map { it.second })
}

// Each way goes first in every second round, so that neither always follows the other.
private fun alternated(round: Int, throughEntry: OverheadCaller, direct: OverheadCaller) =
    if (round % 2 == 0) {
        throughEntry.sample(round) to direct.sample(round)
    } else {
        direct.sample(round).let { throughEntry.sample(round) to it }
    }

private fun start(site: LocalSite, client: PeerClient, work: OverheadWork) {
    val start = SiteStart(site, client)
    start.start()

    fun readyCall(stream: LoadStream) =
        peerCall(ScheduledRequest(0, stream, 0), entryUrl(site), "ready")
    start.awaitAnswer("chats are routed", readyCall(work.chat), "[DONE]")
    start.awaitAnswer("plain calls are routed", readyCall(work.plainGet))
}

private fun entryUrl(site: LocalSite) = "http://${site.entries.first().process.address}"
