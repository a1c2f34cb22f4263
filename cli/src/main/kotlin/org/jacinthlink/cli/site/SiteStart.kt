package org.jacinthlink.cli.site

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.admin.AdminAnswer
import org.jacinthlink.cli.admin.AdminClient
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult

/** Brings [site] into use. Throws [IllegalStateException] if that takes more than a minute. */
internal class SiteStart(private val site: LocalSite, private val client: PeerClient) {
    /** Starts all daemons, waits until they are healthy and applies the classes of the plan. */
    fun start() {
        site.start()
        val processes =
            site.entries.map { it.process } + site.stages.map { it.sidecar } +
                site.services.map { it.sidecar }
        processes.forEach { awaitHealthy(it.address) }
        site.plan.classes.forEach(::put)
    }

    /** Waits until the daemon at [address] is healthy. */
    fun awaitHealthy(address: String) =
        awaitAnswer("$address is healthy", PeerCall("GET", "http://$address/health"))

    /** Repeats [call] until it is answered with success and [text] in the body. */
    fun awaitAnswer(what: String, call: PeerCall, text: String = "") =
        await(what) {
            val result = client.call(call, CALL_TIMEOUT_MS)
            result is PeerResult.Answered && result.isSuccess && text in result.body
        }

    private fun put(workClass: WorkClass) {
        val admin =
            AdminClient(site.entries[0].process.address, LocalSite.OPERATOR_TOKEN, client)
        val body = ProtocolJson.encodeToString(WorkClass.serializer(), workClass)
        val answer = admin.call("PUT", "/v1/admin/classes/${workClass.name}", body)
        check(answer is AdminAnswer.Ok) { "class ${workClass.name} was not set: $answer" }
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
    }
}
