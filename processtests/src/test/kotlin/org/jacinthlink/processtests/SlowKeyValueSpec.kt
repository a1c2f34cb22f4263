package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.WorkClass
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.KeyValueFaults

// More than the workers of both sidecars and the threads of both entries can hold.
private const val BOOKINGS = 160
private const val LOOK_UPS = 20
private const val BUCKETS = 16

// Budget of an idle process, see the page on capacity.
private const val IDLE_CALLS_PER_SECOND = 2

class SlowKeyValueSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        val callers = Executors.newFixedThreadPool(BOOKINGS)
        afterSpec {
            callers.shutdownNow()
            fleet.close()
        }
        // Longer than a first read, a write in flight and a write of its own at 3 s for each.
        fleet.putClass(fleet.entryAddress(0), WorkClass("booking", targetMs = 20_000, worth = 20))

        fun book(reference: String, entry: Int): Future<PeerResult> =
            callers.submit(
                Callable {
                    val body = """{"reference":"$reference"}"""
                    fleet.caller(entry).plain(
                        "POST",
                        "/order-desk/bookings",
                        body,
                        "key-$reference",
                        "booking",
                        25_000
                    )
                }
            )

        // Its class allows 750 ms; a slower look-up is refused or ends with an error of the entry.
        fun lookUp(entry: Int) = fleet.caller(entry).plain("GET", "/order-desk/bookings/1")

        fun calls() = fleet.site.keyValue.status.calls
        val processes = fleet.launcher.processes.size

        describe("a key-value service that answers each call") {
            listOf(1_500L, 3_000L).forEach { delayMs ->
                // Guards against claims that are given up although the service takes each write,
                // and against writes that are sent again while the service still works on them.
                it("after $delayMs ms: bookings run once, and look-ups and chat are not held up") {
                    val before = calls()
                    val startMs = System.currentTimeMillis()
                    fleet.site.keyValue.setFaults(KeyValueFaults(delayMs = delayMs))
                    val names = (1..BOOKINGS).map { "slow-$delayMs-$it" }
                    val answers = names.mapIndexed { index, name -> book(name, index % 2) }
                    val lookUps = (1..LOOK_UPS).map { lookUp(it % 2) }
                    val chats = (0..1).map { fleet.caller(it).chat(Question("beside $delayMs")) }
                    val failed = answers.map { it.get(30, TimeUnit.SECONDS) }.filterNot(::isSuccess)
                    val elapsedMs = System.currentTimeMillis() - startMs
                    val after = calls()
                    fleet.site.keyValue.setFaults(KeyValueFaults())
                    println("slow key-value service: $delayMs ms, $elapsedMs ms, $before, $after")
                    withClue(failed.firstOrNull()) { failed.size shouldBe 0 }
                    names.filter { fleet.bookings(it) != 1 }.shouldBeEmpty()
                    lookUps.filterNot(::isOfService).shouldBeEmpty()
                    chats.filterNot(::isSuccess).shouldBeEmpty()
                    // One write of a bucket is in flight at a time.
                    val writes = after.getValue("txn") - (before["txn"] ?: 0)
                    writes shouldBeLessThanOrEqual BUCKETS * (elapsedMs / delayMs + 1)
                    // A bucket is read before its first write, and after one that was given up,
                    // until the time-out exceeds the delay.
                    val idleCalls = processes * IDLE_CALLS_PER_SECOND * elapsedMs / 1_000
                    after.values.sum() - before.values.sum() - writes shouldBeLessThanOrEqual
                        idleCalls + 4 * BUCKETS
                }
            }
        }
    })
