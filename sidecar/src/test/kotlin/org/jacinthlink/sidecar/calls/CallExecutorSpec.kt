package org.jacinthlink.sidecar.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.PlainResult
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.claims.ClaimOperation
import org.jacinthlink.decision.routing.AdmissionLimits
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.http.startHttpServer

class CallExecutorSpec :
    DescribeSpec({
        val executed = CallAnswer.Executed(200, emptyMap(), "done")

        fun CallAnswer.code() = shouldBeInstanceOf<CallAnswer.Refused>().code

        describe("repeated calls") {
            it("execute once and give all callers the result") {
                withExecutor {
                    gate.hold()
                    val submitted = List(10) { submit(booking()) }
                    gate.open()
                    val answers = submitted.map { it.get() }
                    answers.map {
                        (it as CallAnswer.Executed).copy(replayed = false)
                    }.toSet() shouldBe
                        setOf(executed)
                    executions.get() shouldBe 1
                }
            }
            it("execute once for two sidecars of the service") {
                val keyValue = FakeKeyValueService()
                withExecutor(keyValue = keyValue) {
                    val first = submitAndHold(booking())
                    val firstGate = gate
                    withExecutor(keyValue = keyValue) {
                        val second = submit(booking())
                        firstGate.open()
                        second.get() shouldBe executed.copy(replayed = true)
                        executions.get() shouldBe 0
                    }
                    first.get() shouldBe executed
                }
            }
            it("are refused if their content differs") {
                withExecutor {
                    submit(booking()).get() shouldBe executed
                    submit(booking().copy(bodyHash = "other")).get().code() shouldBe
                        ResultCode.IDEMPOTENCY_KEY_REUSED
                    submit(booking(workspace = "other")).get() shouldBe executed
                }
            }
            it("get no result that is too large to record, and do not execute") {
                withExecutor({ PlainResult.Answered(200, emptyMap(), "x".repeat(20_000)) }) {
                    submit(booking()).get().shouldBeInstanceOf<CallAnswer.Executed>()
                    claims.flush(1_000) shouldBe true
                    submit(booking()).get().shouldBeInstanceOf<CallAnswer.Unknown>()
                    executions.get() shouldBe 1
                }
            }
            it("execute again only if the service was not reached before") {
                val results =
                    ArrayDeque(listOf(PlainResult.NotSent("refused"), PlainResult.Unknown("lost")))
                withExecutor({ results.removeFirst() }) {
                    submit(booking()).get().code() shouldBe ResultCode.NO_BACKEND_SERVER
                    submit(booking()).get() shouldBe CallAnswer.Unknown("lost")
                    submit(booking()).get().shouldBeInstanceOf<CallAnswer.Unknown>()
                    executions.get() shouldBe 2
                }
            }
            it("are unknown, never executed, after the sidecar that claimed them died") {
                withExecutor {
                    val longAgoMs = clocks.wall.nowMs() - 5_000
                    val claim = ClaimOperation.Begin(KEY, "hash", "dead", longAgoMs)
                    claimStore("desk", keyValue).use { it.submit(claim, 1_000).get() }
                    submit(booking()).get().shouldBeInstanceOf<CallAnswer.Unknown>()
                    executions.get() shouldBe 0
                }
            }
        }

        describe("an outage of the key-value service") {
            it("refuses new calls and replays recorded ones") {
                withExecutor {
                    submit(booking("old")).get() shouldBe executed
                    claims.flush(1_000) shouldBe true
                    keyValue.isDown = true
                    submit(booking("new")).get().code() shouldBe ResultCode.CLAIM_UNAVAILABLE
                    submit(booking("old")).get() shouldBe executed.copy(replayed = true)
                    submit(lookUp()).get() shouldBe executed
                    executions.get() shouldBe 2
                }
            }
            it("does not call a claimed call 'not run'") {
                withExecutor {
                    submitAndHold(booking())
                    keyValue.isDown = true
                    val repeated = booking().copy(remainingMs = 150)
                    submit(repeated).get() shouldBe CallAnswer.InProgress
                    gate.open()
                    submit(booking("new")).get().code() shouldBe ResultCode.CLAIM_UNAVAILABLE
                }
            }
        }

        describe("a slow key-value service") {
            val oneWorker = CallExecutorSettings(concurrency = 1)

            // Guards against look-ups that wait behind calls whose claims are on their way.
            it("does not hold up calls without a key") {
                withExecutor(settings = oneWorker) {
                    val answered = CountDownLatch(1)
                    keyValue.nextFault = { WriteFault.NONE.also { answered.await() } }
                    val bookings = List(3) { submit(booking("key-$it")) }
                    submit(lookUp()).get() shouldBe executed
                    answered.countDown()
                    bookings.forEach { it.get() shouldBe executed }
                }
            }
            // Guards against a refusal that arrives after the entry has given the attempt up.
            it("has a call refused within the time that the entry allows for its claim") {
                withExecutor(settings = oneWorker) {
                    val answered = CountDownLatch(1)
                    keyValue.nextFault = { WriteFault.NONE.also { answered.await() } }
                    submit(booking().copy(claimWithinMs = 50)).get().code() shouldBe
                        ResultCode.CLAIM_UNAVAILABLE
                    answered.countDown()
                    claims.flush(1_000) shouldBe true
                    executions.get() shouldBe 0
                    submit(booking()).get() shouldBe executed
                }
            }
        }

        describe("a pause of the process") {
            it("between claim and execution beyond the deadline forbids the call for ever") {
                withExecutor {
                    keyValue.afterWrite = { pausedMs.set(10_000) }
                    submit(booking()).get().code() shouldBe ResultCode.DEADLINE_UNREACHABLE
                    submit(booking()).get().code() shouldBe ResultCode.CANCELLED_BEFORE_RUN
                    executions.get() shouldBe 0
                }
            }
            it("in the middle of the resolution of a lost write leads to no execution") {
                withExecutor {
                    keyValue.nextFault = {
                        pausedMs.addAndGet(10_000)
                        WriteFault.LOST_APPLIED
                    }
                    submit(booking()).get().shouldBeInstanceOf<CallAnswer.Refused>()
                    executions.get() shouldBe 0
                }
            }
            it("longer than the retention of claims makes calls in the socket too late") {
                withExecutor {
                    val call = booking().copy(sentAtMs = clocks.wall.nowMs() - 3_700_000)
                    submit(call).get().code() shouldBe ResultCode.DEADLINE_UNREACHABLE
                }
            }
        }

        describe("a cancellation") {
            it("forbids a call that arrives later") {
                withExecutor {
                    cancel().get().code() shouldBe ResultCode.CANCELLED_BEFORE_RUN
                    submit(booking()).get().code() shouldBe ResultCode.CANCELLED_BEFORE_RUN
                    executions.get() shouldBe 0
                }
            }
            it("does not say 'not run' of a call in execution, or if it cannot be written") {
                withExecutor {
                    val answer = submitAndHold(booking())
                    cancel().get() shouldBe CallAnswer.InProgress
                    gate.open()
                    answer.get() shouldBe executed
                    cancel().get() shouldBe executed.copy(replayed = true)
                    keyValue.isDown = true
                    cancel("other").get().shouldBeInstanceOf<CallAnswer.Unknown>()
                }
            }
        }

        describe("a flood of one class") {
            it("is refused beyond its room in the queue and waits behind the other class") {
                val settings =
                    CallExecutorSettings(
                        concurrency = 1,
                        queueLimits = AdmissionLimits(maxClassRequests = 20)
                    )
                withExecutor(settings = settings) {
                    val answered = CopyOnWriteArrayList<String>()
                    val first = submitAndHold(lookUp("bulk"))
                    val calls =
                        (List(200) { "bulk" } + List(5) { "urgent" }).map { workClass ->
                            submit(lookUp(workClass)).thenApply { answer ->
                                if (answer == executed) answered += workClass
                                answer
                            }
                        }
                    gate.open()
                    (listOf(first) + calls).count { it.get() is CallAnswer.Refused } shouldBe 180
                    answered.lastIndexOf("urgent") shouldBeLessThan 10
                    answered.count { it == "urgent" } shouldBe 5
                }
            }
        }

        describe("the HTTP routes") {
            it("answer calls, cancellations and malformed messages") {
                withExecutor {
                    val server =
                        startHttpServer("127.0.0.1", 0, ServerLimits(), callRoutes(executor))
                    val client = peerClient()

                    fun post(path: String, body: String): PeerResult.Answered {
                        val call = PeerCall("POST", "http://127.0.0.1:${server.port}$path", body)
                        return client.call(call, 3_000).shouldBeInstanceOf<PeerResult.Answered>()
                    }
                    val answer = post("/v1/calls", ProtocolJson.encodeToString(booking()))
                    ProtocolJson.decodeFromString<CallAnswer>(answer.body) shouldBe executed
                    val cancelled =
                        post("/v1/calls/cancel", ProtocolJson.encodeToString(cancellation("new")))
                    ProtocolJson.decodeFromString<CallAnswer>(cancelled.body).code() shouldBe
                        ResultCode.CANCELLED_BEFORE_RUN
                    post("/v1/calls", "{}").status shouldBe 400
                    client.close()
                    server.stop()
                }
            }
        }
    })
