package org.jacinthlink.cli.demo

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.admin.AdminAnswer
import org.jacinthlink.cli.admin.AdminClient
import org.jacinthlink.cli.fail
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.cli.site.inJvmLauncher
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.headerValue
import org.jacinthlink.runtime.http.peerClient
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Runs a whole site in this JVM, shows a streamed answer and an idempotent booking, and ends. */
internal class DemoCommand : Command("demo", "Runs a whole site in one JVM and shows a request") {
    private val stay by
        option(ArgType.Boolean, "stay", description = "keep the site up until it is interrupted")
            .default(false)

    override fun run(): ExitCode {
        silenceEvents()
        val client = peerClient()
        return try {
            LocalSite(demoPlan(), inJvmLauncher()).use { site -> show(site, client) }
        } finally {
            client.close()
        }
    }

    // The events of ten daemons in one JVM would hide the answer.
    private fun silenceEvents() {
        val logs = LoggerFactory.getILoggerFactory() as LoggerContext
        logs.getLogger(Logger.ROOT_LOGGER_NAME).level = Level.ERROR
    }

    private fun show(site: LocalSite, client: PeerClient): ExitCode {
        site.start()
        val entries = site.entries.map { it.process.address }
        val admin = AdminClient(entries[0], LocalSite.OPERATOR_TOKEN, client)
        val faults = site.plan.classes.mapNotNull { put(admin, it) }
        if (faults.isNotEmpty()) return fail(faults[0].exitCode, faults[0].message)
        if (!awaitReady(entries, client)) return fail(ExitCode.UNREACHABLE, "no route in 20 s")
        println("entries: ${entries.joinToString()}")
        val requestId = stream(entries[0], client)
        requestId?.let { showStages(site, it) }
        showBooking(site, entries, client)
        if (stay) stay(site)
        return if (requestId == null) ExitCode.REFUSED else ExitCode.OK
    }

    private fun put(admin: AdminClient, workClass: WorkClass): AdminAnswer.Failed? {
        val body = ProtocolJson.encodeToString(WorkClass.serializer(), workClass)
        val path = "/v1/admin/classes/${workClass.name}"
        return admin.call("PUT", path, body) as? AdminAnswer.Failed
    }

    private fun awaitReady(entries: List<String>, client: PeerClient): Boolean =
        entries.all { entry ->
            (0 until READY_ATTEMPTS).any {
                val result = client.call(chatCall(entry, stream = false, maxTokens = 1), 5_000)
                val ready = result is PeerResult.Answered && result.isSuccess
                if (!ready) Thread.sleep(READY_PAUSE_MS)
                ready
            }
        }

    private fun stream(entry: String, client: PeerClient): RequestId? {
        println("\nstreamed answer:")
        val printer = StreamPrinter()
        client.stream(chatCall(entry, stream = true, maxTokens = 24), 2_000, printer)
        return printer.await(STREAM_TIMEOUT_MS)
    }

    private fun stay(site: LocalSite) {
        println("\nthe site stays up; operator token: ${LocalSite.OPERATOR_TOKEN}")
        site.stages.forEach { println("  ${it.name}: engine at ${it.engine.address}") }
        Thread.currentThread().join()
    }

    private fun showStages(site: LocalSite, requestId: RequestId) {
        println("\nstages of request ${requestId.value}:")
        site.stages.forEach { stage ->
            val runs = stage.engine.executions(requestId).executions
            if (runs.isNotEmpty()) {
                val layers = runs.map { it.layer }.toSortedSet()
                val positions = runs.map { it.position }.toSet().size
                println(
                    "  ${stage.name} in ${stage.settings.daemon.availabilityZone}: layers " +
                        "${layers.first()} to ${layers.last()}, $positions positions, " +
                        "each run ${timesOf(runs.map { it.count })}"
                )
            }
        }
    }

    private fun timesOf(counts: List<Int>): String =
        if (counts.all { it == 1 }) "once" else "${counts.min()} to ${counts.max()} times"

    private fun showBooking(site: LocalSite, entries: List<String>, client: PeerClient) {
        println("\none booking, sent through each entry with the same idempotency key:")
        entries.forEach { entry ->
            println("  $entry: ${summary(client.call(bookingCall(entry), CALL_TIMEOUT_MS))}")
        }
        val count = site.services.sumOf { it.service.executions.values.sum() }
        println("  the order desk ran it $count times")
    }

    private fun summary(result: PeerResult): String =
        when (result) {
            is PeerResult.Answered -> {
                val isReplayed = result.headers.headerValue(Headers.REPLAYED) == "true"
                val kind = if (isReplayed) "recorded result" else "executed"
                "$kind, status ${result.status}, ${result.body}"
            }
            is PeerResult.NotSent -> "not sent: ${result.message}"
            is PeerResult.Unknown -> "unknown: ${result.message}"
        }

    private companion object {
        const val READY_ATTEMPTS = 100
        const val READY_PAUSE_MS = 200L
        const val STREAM_TIMEOUT_MS = 20_000L
        const val CALL_TIMEOUT_MS = 10_000L
    }
}
