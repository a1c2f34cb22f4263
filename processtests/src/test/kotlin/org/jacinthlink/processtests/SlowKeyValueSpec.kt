package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.jacinthlink.api.WorkClass
import org.jacinthlink.processtests.KeyValueFixture.Companion.BUCKETS
import org.jacinthlink.standins.KeyValueFaults

// More than the workers of both sidecars and the threads of both entries can hold.
private const val BOOKINGS = 160

// Longer than a first read, a write in flight and a write of its own at 3 s for each.
private val BookingClass = WorkClass("booking", targetMs = 20_000, worth = 20)

class SlowKeyValueSpec :
    DescribeSpec({
        val site = KeyValueFixture(BOOKINGS)
        afterSpec { site.close() }
        site.fleet.putClass(site.fleet.entryAddress(0), BookingClass)

        describe("a key-value service that is slow") {
            listOf(1_500L, 3_000L).forEach { delayMs ->
                // Guards against claims that are given up although the service takes each write,
                // and against writes that are sent again while the service still works on them.
                it("by $delayMs ms for each answer holds up no bookings and no other requests") {
                    val names = List(BOOKINGS) { "slow-$delayMs-$it" }
                    val startMs = System.currentTimeMillis()
                    site.keyValue.setFaults(KeyValueFaults(delayMs = delayMs))
                    val calls = site.callsDuring {
                        val sent = names.mapIndexed { at, name ->
                            site.book(name, at % 2, "booking")
                        }
                        repeat(10) { site.checkOthers("beside $delayMs $it") }
                        sent.map { it.get() }.filterNot(::isSuccess).shouldBeEmpty()
                    }
                    val elapsedMs = System.currentTimeMillis() - startMs
                    site.keyValue.setFaults(KeyValueFaults())
                    site.checkRuns(names, 1)
                    // One write of a bucket is in flight at a time. It is read before the first
                    // one, and after one that was given up until the time-out exceeds the delay.
                    val writes = calls.getValue("txn")
                    writes shouldBeLessThanOrEqual BUCKETS * (elapsedMs / delayMs + 1)
                    calls.values.sum() - writes shouldBeLessThanOrEqual
                        site.idleCalls(elapsedMs) + 4 * BUCKETS
                }
            }
        }
    })
