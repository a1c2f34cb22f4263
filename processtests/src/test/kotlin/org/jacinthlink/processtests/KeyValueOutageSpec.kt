package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.KeyValueFaults
import org.jacinthlink.standins.Outage
import org.jacinthlink.standins.PlainServiceFaults

private const val BUCKETS = 16

// Budget of an idle process, see the page on capacity.
private const val IDLE_CALLS_PER_SECOND = 2

// Together longer than the lease for orders (10 s) and the longest wait for a claim (15 s).
private const val REFUSING_MS = 5_000L
private const val SILENT_MS = 11_000L
private const val WINDOW_MS = 2_000L

class KeyValueOutageSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        afterSpec { fleet.close() }

        fun book(reference: String, entry: Int = 0): PeerResult {
            val body = """{"reference":"$reference"}"""
            val path = "/order-desk/bookings"
            return fleet.caller(entry).plain("POST", path, body, "key-$reference", "question")
        }

        fun lookUp(entry: Int) =
            fleet.caller(entry).plain("GET", "/order-desk/bookings/1", workClass = "question")

        fun serviceLatency(ms: Long) =
            fleet.site.services.forEach { it.service.setFaults(PlainServiceFaults(latencyMs = ms)) }

        fun outage(outage: Outage) = fleet.site.keyValue.setFaults(KeyValueFaults(outage = outage))

        fun callsIn(ms: Long): Map<String, Long> {
            val before = fleet.site.keyValue.status.calls
            Thread.sleep(ms)
            return fleet.site.keyValue.status.calls
                .mapValues { (kind, count) -> count - (before[kind] ?: 0) }
        }

        // Calls of all idle processes, and a read and a write of each bucket.
        val budget =
            fleet.launcher.processes.size * IDLE_CALLS_PER_SECOND * WINDOW_MS / 1_000 + 2 * BUCKETS

        describe("an outage of the key-value service longer than all leases") {
            // Guards against executions without a claim, results that are lost, a second run of a
            // booking whose claim was in doubt, and a storm of calls on the returned service.
            it("stops bookings truthfully and nothing else, and ends without a storm") {
                serviceLatency(1_000)
                val ran = (1..8).map { "ran-$it" }
                val begun = ran.map { name -> CompletableFuture.supplyAsync { book(name) } }
                eventually("all have run", 5_000) { ran.all { fleet.bookings(it) == 1 } }
                outage(Outage.UNAVAILABLE)
                val results = begun.map { it.get(10, TimeUnit.SECONDS) }
                serviceLatency(0)
                withClue(results) { results.all(::isSuccess) shouldBe true }

                val others = OutageLoad(fleet, ::book, ::lookUp)
                Thread.sleep(REFUSING_MS - WINDOW_MS)
                val whileRefusing = callsIn(WINDOW_MS)
                outage(Outage.SILENT)
                Thread.sleep(SILENT_MS - WINDOW_MS)
                // Its layers need a load order, and the lease for orders has lapsed.
                fleet.site.stages.last().engine.crash(200)
                Thread.sleep(WINDOW_MS)
                ran.map { book(it, entry = 1) }.filterNot(::isReplayed).shouldBeEmpty()
                others.stop()
                outage(Outage.NONE)
                // Calls that the outage swallowed end within 5 s.
                val afterReturn = List(3) { callsIn(WINDOW_MS) }
                println("key-value outage: budget $budget, $whileRefusing, $afterReturn")

                others.faults.shouldBeEmpty()
                val refused = others.bookings.toMap()
                refused.filterValues { it.errorDetail()?.notRun != true } shouldBe emptyMap()
                refused.keys.filter { fleet.bookings(it) != 0 }.shouldBeEmpty()
                (afterReturn + whileRefusing).forEach {
                    it.values.sum() shouldBeLessThanOrEqual budget
                }

                eventually("bookings run again", 2_000) { isSuccess(book("again")) }
                refused.keys.map(::book).filterNot(::isSuccess).shouldBeEmpty()
                ran.map(::book).filterNot(::isReplayed).shouldBeEmpty()
                (ran + refused.keys + "again").filter { fleet.bookings(it) != 1 }.shouldBeEmpty()
                fleet.awaitWhole()
            }
        }
    })

/** Chats, look-ups and new bookings, one after another through both entries. */
private class OutageLoad(
    private val fleet: ProcessSite,
    private val book: (String, Int) -> PeerResult,
    private val lookUp: (Int) -> PeerResult
) {
    /** Chats and look-ups that failed. */
    val faults = ConcurrentLinkedQueue<String>()
    val bookings = ConcurrentHashMap<String, PeerResult>()

    @Volatile private var isRunning = true

    private val workers =
        listOf(::chat, ::look, ::sendBooking, ::sendBooking, ::sendBooking, ::sendBooking)
            .mapIndexed { worker, send -> thread { repeatedly(worker, send) } }

    fun stop() {
        isRunning = false
        workers.forEach { it.join(10_000) }
    }

    private fun repeatedly(worker: Int, send: (String, Int) -> Unit) {
        var count = 0
        while (isRunning) {
            send("outage-$worker-$count", count++ % 2)
            Thread.sleep(PAUSE_MS)
        }
    }

    private fun chat(name: String, entry: Int) {
        val question = Question(name, workClass = "question")
        faultOf(question, fleet.caller(entry).stream(question).await())?.let { faults += it }
    }

    private fun look(name: String, entry: Int) {
        val answer = lookUp(entry)
        if (!isOfService(answer)) faults += "$name: $answer"
    }

    private fun sendBooking(name: String, entry: Int) {
        bookings[name] = book(name, entry)
    }

    private companion object {
        const val PAUSE_MS = 100L
    }
}
