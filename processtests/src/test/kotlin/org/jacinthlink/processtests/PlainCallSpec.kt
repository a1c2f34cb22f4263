package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ResultCode
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.headerValue
import org.jacinthlink.standins.KeyValueFaults
import org.jacinthlink.standins.Outage
import org.jacinthlink.standins.PlainServiceFaults

private const val BOOKINGS = "/order-desk/bookings"

class PlainCallSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        afterSpec { fleet.close() }

        fun body(reference: String) = """{"reference":"$reference"}"""

        fun book(reference: String, entry: Int = 0, key: String = "key-$reference") =
            fleet.caller(entry).plain("POST", BOOKINGS, body(reference), key)

        // The target of this class leaves time for a service that takes a second.
        fun bookSlowly(reference: String, entry: Int) =
            fleet.caller(entry)
                .plain("POST", BOOKINGS, body(reference), "key-$reference", "question")

        fun faults(faults: PlainServiceFaults) =
            fleet.site.services.forEach { it.service.setFaults(faults) }

        describe("a booking") {
            it("runs, and a second copy with its key gets the recorded result") {
                val first = book("twice").shouldBeInstanceOf<PeerResult.Answered>()
                val second = book("twice", entry = 1).shouldBeInstanceOf<PeerResult.Answered>()
                first.status shouldBe 201
                second.body shouldBe first.body
                fleet.bookings("twice") shouldBe 1
            }
            // Guards against two executions when copies race through two entries.
            it("runs once when ten copies come at once through two entries") {
                val answers =
                    (0 until 10).map { copy ->
                        CompletableFuture.supplyAsync { book("race", copy % 2) }
                    }.map { it.get(30, TimeUnit.SECONDS) }
                fleet.bookings("race") shouldBe 1
                answers.count { it is PeerResult.Answered && it.isSuccess } shouldBe 10
            }
            it("is refused with the same key and another body") {
                book("bound", key = "bound")
                book("other", key = "bound").resultCode() shouldBe
                    ResultCode.IDEMPOTENCY_KEY_REUSED
                fleet.bookings("other") shouldBe 0
            }
            // Guards against a retry inside the system after the service may have executed.
            it("is unknown, and stays so, when the service executes and its answer is lost") {
                faults(PlainServiceFaults(crashAfter = 1))
                book("lost").resultCode() shouldBe ResultCode.OUTCOME_UNKNOWN
                faults(PlainServiceFaults())
                eventually("both order desks are up", 5_000) {
                    (book("up-0") as? PeerResult.Answered)?.isSuccess == true
                }
                book("lost", entry = 1).resultCode() shouldBe ResultCode.OUTCOME_UNKNOWN
                fleet.bookings("lost") shouldBe 1
            }
            // Guards against a claim whose write took effect while its answer was lost.
            it("runs once when the answer to the write of its claim is lost") {
                fleet.site.keyValue.setFaults(KeyValueFaults(loseAnswers = 1))
                val first = book("claim-answer-lost")
                fleet.site.keyValue.setFaults(KeyValueFaults())
                checkTruth(first, "claim-answer-lost", fleet)
                val second =
                    book("claim-answer-lost", entry = 1).shouldBeInstanceOf<PeerResult.Answered>()
                fleet.bookings("claim-answer-lost") shouldBe if (second.isSuccess) 1 else 0
                checkTruth(second, "claim-answer-lost", fleet)
                // A replayed result would be that of the first copy.
                if (first.errorDetail()?.notRun == true) {
                    second.headers.headerValue(Headers.REPLAYED) shouldNotBe "true"
                }
            }
        }

        describe("an outage of the key-value service") {
            // Guards against executions without a claim and against false answers.
            it("refuses new bookings truthfully and goes on with chat") {
                fleet.site.keyValue.setFaults(KeyValueFaults(outage = Outage.UNAVAILABLE))
                val refused = book("outage")
                refused.resultCode() shouldBe ResultCode.CLAIM_UNAVAILABLE
                refused.errorDetail()?.notRun shouldBe true
                fleet.bookings("outage") shouldBe 0
                fleet.caller().chat(Question("still served"))
                    .shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 200
                val before = callCount(fleet)
                Thread.sleep(3_000)
                // Ten processes with back-off: a few calls a second in all.
                callCount(fleet) - before shouldBeLessThan 60
                fleet.site.keyValue.setFaults(KeyValueFaults())
                eventually("bookings run again", 10_000) {
                    (book("after-outage") as? PeerResult.Answered)?.isSuccess == true
                }
                fleet.bookings("after-outage") shouldBeLessThanOrEqual 1
            }
        }

        describe("a killed process") {
            // Guards against a second execution by the successor of a killed sidecar.
            it("beside the service: a booking in execution never runs again") {
                faults(PlainServiceFaults(latencyMs = 1_500))
                val pending = CompletableFuture.supplyAsync { book("killed-sidecar") }
                eventually("the booking has run", 5_000) { fleet.bookings("killed-sidecar") == 1 }
                fleet.site.services.forEach { fleet.process(it.name).kill() }
                val first = pending.get(30, TimeUnit.SECONDS)
                first.errorDetail()?.notRun shouldBe false
                faults(PlainServiceFaults())
                fleet.site.services.forEach { fleet.site.restartSidecar(it.settings) }
                fleet.site.services.forEach { fleet.process(it.name).awaitHealthy() }
                eventually("new bookings run", 20_000) {
                    (book("after-kill") as? PeerResult.Answered)?.isSuccess == true
                }
                book("killed-sidecar", entry = 1).resultCode() shouldBeIn
                    listOf(ResultCode.OUTCOME_UNKNOWN, ResultCode.IN_PROGRESS)
                fleet.bookings("killed-sidecar") shouldBe 1
            }
            // Guards against a second execution when the caller goes to another entry.
            it("an entry: the booking sent again through the other entry runs once") {
                faults(PlainServiceFaults(latencyMs = 1_000))
                val pending = CompletableFuture.supplyAsync {
                    bookSlowly("killed-entry", entry = 1)
                }
                eventually("the booking has run", 5_000) { fleet.bookings("killed-entry") == 1 }
                fleet.process("entry-1").kill()
                pending.get(30, TimeUnit.SECONDS)
                faults(PlainServiceFaults())
                val again = bookSlowly("killed-entry", entry = 0)
                again.shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 201
                fleet.bookings("killed-entry") shouldBe 1
            }
        }
    })

/** A refusal that says "not run" must be true of all copies of the booking so far. */
private fun checkTruth(answer: PeerResult, reference: String, fleet: ProcessSite) {
    val saysNotRun = answer.errorDetail()?.notRun == true
    if (saysNotRun && fleet.bookings(reference) > 0) {
        error("$answer says not run, but $reference ran")
    }
}

private fun callCount(fleet: ProcessSite): Long =
    fleet.site.keyValue.status.calls.values.sum()
