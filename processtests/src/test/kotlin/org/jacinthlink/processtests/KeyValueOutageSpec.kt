package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.Future
import org.jacinthlink.processtests.KeyValueFixture.Companion.BUCKETS
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.KeyValueFaults
import org.jacinthlink.standins.Outage
import org.jacinthlink.standins.PlainServiceFaults

private const val WINDOW_MS = 2_000L

class KeyValueOutageSpec :
    DescribeSpec({
        val site = KeyValueFixture(callerCount = 64)
        afterSpec { site.close() }
        val sent = LinkedHashMap<String, Future<PeerResult>>()

        fun sendFor(durationMs: Long) {
            val endMs = System.currentTimeMillis() + durationMs
            while (System.currentTimeMillis() < endMs) {
                repeat(4) {
                    "new-${sent.size}".let { name -> sent[name] = site.book(name, it % 2) }
                }
                site.checkOthers("beside ${sent.size}")
                Thread.sleep(300)
            }
        }

        fun answersTo(names: Collection<String>) = names.map { site.book(it) }.map { it.get() }

        describe("an outage of the key-value service longer than all leases") {
            // Guards against executions without a claim, results that are lost, a second run of a
            // booking whose claim was in doubt, and a storm of calls on the returned service.
            it("stops bookings truthfully and nothing else, and ends without a storm") {
                val desks = site.fleet.site.services.map { it.service }
                desks.forEach { it.setFaults(PlainServiceFaults(latencyMs = 1_000)) }
                val ran = List(8) { "ran-$it" }
                val begun = ran.map { site.book(it) }
                eventually("all have run", 5_000) { ran.all { site.fleet.bookings(it) == 1 } }
                site.keyValue.setFaults(KeyValueFaults(Outage.UNAVAILABLE))
                begun.map { it.get() }.filterNot(::isSuccess).shouldBeEmpty()
                desks.forEach { it.setFaults(PlainServiceFaults()) }

                sendFor(3_000)
                val windows = mutableListOf(site.callsDuring { sendFor(WINDOW_MS) })
                // The lease for orders lapses in 10 s, and a claim is awaited for 15 s at most.
                site.keyValue.setFaults(KeyValueFaults(Outage.SILENT))
                sendFor(9_000)
                // Its layers need a load order, for which there is no lease now.
                site.fleet.site.stages.last().engine.crash(200)
                sendFor(2_000)
                val refusals = sent.mapValues { it.value.get().errorDetail() }
                refusals.filterValues { it?.notRun != true } shouldBe emptyMap()
                answersTo(ran).filterNot(::isReplayed).shouldBeEmpty()

                site.keyValue.setFaults(KeyValueFaults())
                // Calls that the outage swallowed end within 5 s.
                repeat(3) { windows += site.callsDuring { Thread.sleep(WINDOW_MS) } }
                // Beside idle processes, each bucket makes a read and a write.
                val budget = site.idleCalls(WINDOW_MS) + 2 * BUCKETS
                windows.forEach { it.values.sum() shouldBeLessThanOrEqual budget }
                site.checkRuns(sent.keys, 0)
                answersTo(sent.keys).filterNot(::isSuccess).shouldBeEmpty()
                answersTo(ran).filterNot(::isReplayed).shouldBeEmpty()
                site.checkRuns(ran + sent.keys, 1)
                site.fleet.awaitWhole()
            }
        }
    })
