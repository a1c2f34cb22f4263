package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jacinthlink.api.ResultCode
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.ProxyDirection
import org.jacinthlink.standins.ProxyFaults

class ConnectionSpec :
    DescribeSpec({
        val fleet = ProcessSite(demoPlan().copy(isProxied = true)).start()
        val proxy = fleet.site.proxy!!
        afterSpec { fleet.close() }

        /** Silences all connections to the stage at [hop] of a running stream. */
        fun silencedAt(hop: Int): Pair<Question, StreamedAnswer> {
            val question = Question("silent hop $hop", maxTokens = 120)
            val answer = fleet.caller().stream(question)
            answer.awaitTokens(20)
            val stage =
                fleet.site.stages
                    .filter { it.engine.executions(answer.requestId).executions.isNotEmpty() }
                    .sortedBy { it.holding.firstLayer }[hop]
            proxy.silenceExisting(stage.name)
            return question to answer.await()
        }

        describe("connections that go silent for good") {
            (0..2).forEach { hop ->
                // Guards against a request that hangs on a connection that nobody serves.
                it("to stage $hop cost the stream two seconds at most") {
                    val (question, answer) = silencedAt(hop)
                    withClue(answer.error) {
                        answer.tokens.toList() shouldContainExactly expectedAnswer(question)
                    }
                    answer.arrivedAtMs.zipWithNext { a, b -> b - a }.max() shouldBeLessThan 2_000
                }
            }
        }

        describe("a booking that the network holds back") {
            // Guards against a call that runs after its refusal was reported as "not run".
            it("does not run after the caller was told that it did not") {
                val desks = fleet.site.services.map { it.name }
                desks.forEach { proxy.setFaults(it, ProxyFaults(hold = ProxyDirection.TO_TARGET)) }
                val answer =
                    fleet.caller().plain(
                        "POST",
                        "/order-desk/bookings",
                        """{"reference":"held"}""",
                        "key-held"
                    )
                desks.forEach { proxy.setFaults(it, ProxyFaults()) }
                Thread.sleep(2_000)
                val ran = fleet.bookings("held")
                val saysNotRun = answer.errorDetail()?.notRun == true
                withClue("$answer, ran $ran times") {
                    (saysNotRun && ran > 0) shouldBe false
                    (ran <= 1) shouldBe true
                }
                if (!saysNotRun && ran == 0) {
                    answer.resultCode() shouldBe ResultCode.OUTCOME_UNKNOWN
                }
            }
            // Guards against a refusal at once while the other desk is still excluded.
            it("goes to another order desk when one refuses connections") {
                proxy.setFaults(fleet.site.services[0].name, ProxyFaults(refuse = true))
                val answers =
                    (0 until 6).map {
                        fleet.caller().plain(
                            "POST",
                            "/order-desk/bookings",
                            """{"reference":"refused-$it"}""",
                            "key-refused-$it"
                        )
                    }
                proxy.setFaults(fleet.site.services[0].name, ProxyFaults())
                answers.forEachIndexed { index, answer ->
                    answer.shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 201
                    fleet.bookings("refused-$index") shouldBe 1
                }
            }
        }
    })
