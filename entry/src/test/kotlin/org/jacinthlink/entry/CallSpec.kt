package org.jacinthlink.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.Holding
import org.jacinthlink.api.ResultCode

private const val PATH = "/v1/services/ledger/deposits/7"
private val KEYED = mapOf("Idempotency-Key" to "k1")
private val DONE = CallAnswer.Executed(201, mapOf("x-ledger" to "page 3"), "released")

class CallSpec :
    DescribeSpec({
        fun fixture(test: Fixture.() -> Unit) = Fixture().use(test)

        describe("a keyed call") {
            // Guards against an answer of the service that is changed on its way.
            it("returns the service's answer") {
                fixture {
                    sidecar("s1") { DONE }
                    val answer = post(PATH, "{}", KEYED)
                    answer.status shouldBe 201
                    answer.body shouldBe "released"
                    answer.headers["x-ledger"] shouldBe "page 3"
                    answer.headers["x-jacinthlink-replayed"] shouldBe "false"
                }
            }
            // Guards against a lost answer that ends a call which its claim makes safe to repeat.
            it("is repeated with its key elsewhere after an unknown outcome") {
                fixture {
                    var calls = 0
                    val once = { _: String ->
                        if (calls++ ==
                            0
                        ) {
                            null
                        } else {
                            DONE.copy(replayed = true)
                        }
                    }
                    listOf("s1", "s2").forEach { sidecar(it, once) }
                    val answer = post(PATH, "{}", KEYED)
                    answer.headers["x-jacinthlink-replayed"] shouldBe "true"
                    called.map { it.substringBefore(' ') } shouldContainExactlyInAnyOrder
                        listOf("s1", "s2")
                }
            }
            // Guards against "not run" for a call that a delayed message can still start.
            it("is reported as not run only if it was refused or cancelled") {
                val cancelled = CallAnswer.Refused(ResultCode.CANCELLED_BEFORE_RUN, "cancelled")
                val claimDown = CallAnswer.Refused(ResultCode.CLAIM_UNAVAILABLE, "no claims")
                val cases =
                    listOf<Triple<CallAnswer?, CallAnswer?, ResultCode>>(
                        Triple(null, cancelled, ResultCode.CANCELLED_BEFORE_RUN),
                        Triple(null, claimDown, ResultCode.OUTCOME_UNKNOWN),
                        Triple(null, null, ResultCode.OUTCOME_UNKNOWN),
                        Triple(null, CallAnswer.InProgress, ResultCode.OUTCOME_UNKNOWN),
                        Triple(claimDown, null, ResultCode.CLAIM_UNAVAILABLE),
                        Triple(CallAnswer.Unknown("lost"), null, ResultCode.OUTCOME_UNKNOWN),
                        Triple(CallAnswer.InProgress, null, ResultCode.IN_PROGRESS)
                    )
                cases.forEach { (call, cancel, expected) ->
                    fixture {
                        sidecar("s1") { path -> if (path.endsWith("cancel")) cancel else call }
                        val answer = post(PATH, "{}", KEYED)
                        answer.status shouldBe expected.httpStatus
                        answer.body shouldContain "\"name\":\"${expected.name}\""
                        answer.body shouldContain "\"not_run\":${expected.notRun}"
                    }
                }
            }
            // Guards against work without a key that would run twice on a retry.
            it("needs its key, unless the method may be repeated") {
                fixture {
                    sidecar("s1") { DONE }
                    val missing = ResultCode.IDEMPOTENCY_KEY_MISSING
                    post(PATH, "{}").body shouldContain missing.name
                    called.size shouldBe 0
                    post(PATH, method = "GET").status shouldBe 201
                    post("/v1/services/none/x", "{}", KEYED).status shouldBe 404
                }
            }
        }

        describe("a call whose only sidecar refuses connections") {
            // Guards against a refusal while a sidecar comes back within the target.
            it("waits for the sidecar within its target") {
                fixture {
                    val port = ServerSocket(0).use { it.localPort }
                    membership.add("back", port, Holding.Service("ledger"))
                    val pending = CompletableFuture.supplyAsync { post(PATH, "{}", KEYED) }
                    Thread.sleep(600)
                    pending.isDone shouldBe false
                    sidecarAt("back", port) { DONE }
                    pending.get(5, TimeUnit.SECONDS).status shouldBe 201
                }
            }
            // Guards against a caller who is kept beyond the target, or told a false code.
            it("is refused as not run when the target passes") {
                fixture {
                    val unused = ServerSocket(0).use { it.localPort }
                    membership.add("gone", unused, Holding.Service("ledger"))
                    val brief = KEYED + ("x-jacinthlink-class" to "brief")
                    val answer = post(PATH, "{}", brief)
                    answer.body shouldContain "\"not_run\":true"
                    answer.body shouldContain ResultCode.DEADLINE_UNREACHABLE.name
                }
            }
        }

        describe("a repeatable call") {
            // Guards against a caller who waits for a sidecar that is gone or broken.
            it("goes on to another sidecar, within its time") {
                fixture {
                    val unused = ServerSocket(0).use { it.localPort }
                    membership.add("gone", unused, Holding.Service("ledger"))
                    sidecar("s1") { null }
                    sidecar("s2") { DONE }
                    repeat(5) { post(PATH, method = "GET").status shouldBe 201 }
                }
            }
        }

        describe("the operators' routes") {
            val operator = mapOf("Authorization" to "Bearer $OPERATOR_TOKEN")

            // Guards against changes by callers who are not operators.
            it("need the token") {
                fixture {
                    post("/v1/admin/status", method = "GET").status shouldBe 401
                    val wrong = mapOf("Authorization" to "Bearer x$OPERATOR_TOKEN")
                    post("/v1/admin/config", headers = wrong, method = "GET").status shouldBe 401
                }
            }
            // Guards against operators' changes and views that do not match the system.
            it("change classes and show the system") {
                fixture {
                    sidecar("s1") { DONE }
                    val body = """{"targetMs":900,"worth":3}"""
                    post("/v1/admin/classes/new", body, operator, "PUT").body shouldContain
                        "\"revision\":1"
                    configuration.current.classes.getValue("new").targetMs shouldBe 900
                    post("/v1/admin/classes/new", "{}", operator, "PUT").status shouldBe 400
                    post(PATH, "{}", KEYED)
                    val status = post("/v1/admin/status", headers = operator, method = "GET").body
                    status shouldContain "\"instance\":\"s1\""
                    // Guards against requests that are missing from the figures of their class.
                    status shouldContain "\"ended\":1,\"within_share\":1.0"
                }
            }
            // Guards against a time line that silently lacks an instance.
            it("gather the events of a request and name the missing instances") {
                fixture {
                    sidecar("s1") { DONE }
                    val id = post(PATH, "{}", KEYED).headers["x-jacinthlink-request-id"]
                    val path = "/v1/admin/events?request_id=$id"
                    val gathered = post(path, headers = operator, method = "GET").body
                    listOf("request_received", "sidecar_chosen", "request_ended").forEach {
                        gathered shouldContain "\"name\":\"$it\""
                    }
                    gathered shouldContain "\"missing\":[\"s1\"]"
                    val byClass = "/v1/admin/events?class=urgent"
                    post(byClass, headers = operator, method = "GET").body shouldBe gathered
                    val both = "$path&class=urgent"
                    post(both, headers = operator, method = "GET").status shouldBe 400
                }
            }
        }
    })
