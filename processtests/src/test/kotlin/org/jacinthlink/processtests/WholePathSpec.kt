package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ResultCode
import org.jacinthlink.cli.site.DEMO_MODEL
import org.jacinthlink.runtime.http.PeerResult

private const val LAYERS = 12

class WholePathSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        afterSpec { fleet.close() }

        describe("a chat request over separate processes") {
            // Guards against lost, doubled or reordered tokens and layers on the plain path.
            it("streams the answer of the model, each layer run once for each token") {
                val question = Question("price of forty rear lamps", maxTokens = 30)
                val answer = fleet.caller().stream(question).await()
                answer.tokens.toList() shouldContainExactly expectedAnswer(question)
                answer.isDone shouldBe true
                val positions = question.promptTokens.size + question.maxTokens - 1
                fleet.site.shouldHaveRunOnce(answer.requestId, LAYERS, positions)
            }
            // Guards against an adapter that holds tokens back until the end.
            it("delivers tokens while they are made") {
                val answer = fleet.caller().stream(Question("stock of bells", 40)).await()
                val spanMs = answer.arrivedAtMs.last() - answer.arrivedAtMs.first()
                spanMs shouldBeGreaterThan 100L
            }
            it("answers whole when no stream is asked for") {
                val question = Question("are these reflectors compatible")
                val answer = fleet.caller(entry = 1).chat(question)
                val body = answer.shouldBeInstanceOf<PeerResult.Answered>().body
                body shouldContain expectedAnswer(question).joinToString("")
            }
            // Guards against answers that reach another caller.
            it("gives each of many concurrent callers its own answer") {
                val pool = Executors.newFixedThreadPool(24)
                val answers =
                    (0 until 60).map { index ->
                        val question = Question("question number $index of a shop", 12)
                        pool.submit<Pair<Question, StreamedAnswer>> {
                            val caller = fleet.caller(index % 2, "shop-${index % 7}")
                            question to caller.stream(question).await()
                        }
                    }.map { it.get(60, TimeUnit.SECONDS) }
                pool.shutdown()
                answers.filter { (question, answer) ->
                    answer.tokens.toList() != expectedAnswer(question)
                }.map { (question, answer) -> question.text to answer.error }.shouldBeEmpty()
            }
        }

        describe("a faulty request") {
            val headers =
                mapOf(Headers.WORKSPACE to "shop-1", Headers.WORK_CLASS to "quotation")
            val valid =
                """{"model":"$DEMO_MODEL","messages":[{"role":"user","content":"x"}]}"""

            fun code(body: String, use: Map<String, String> = headers): ResultCode? {
                val answer = fleet.caller().raw(body, use)
                answer.errorDetail()?.notRun shouldBe true
                return answer.resultCode()
            }

            it("is refused with its code, and the process goes on") {
                code("{broken") shouldBe ResultCode.MALFORMED_REQUEST
                code(valid.replace(DEMO_MODEL, "no-such")) shouldBe ResultCode.UNKNOWN_MODEL
                code(valid, headers + (Headers.WORK_CLASS to "none")) shouldBe
                    ResultCode.UNKNOWN_CLASS
                code(valid, headers - Headers.WORKSPACE) shouldBe ResultCode.UNKNOWN_WORKSPACE
                code("x".repeat(2_000_000)) shouldBe ResultCode.BODY_TOO_LARGE
                val keyless = fleet.caller().plain("POST", "/order-desk/bookings", "{}")
                keyless.resultCode() shouldBe ResultCode.IDEMPOTENCY_KEY_MISSING
                fleet.caller().chat(Question("still there"))
                    .shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 200
            }
        }
    })
