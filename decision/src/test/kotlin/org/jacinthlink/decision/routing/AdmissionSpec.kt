package org.jacinthlink.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

class AdmissionSpec :
    DescribeSpec({
        val classes =
            listOf(WorkClass("urgent", 1_000, worth = 9), WorkClass("archive", 60_000, worth = 1))
                .associateBy { it.name }
        var count = 0

        fun request(name: String, workspace: String, cost: Int = 100, resumed: Boolean = false) =
            QueuedRequest(
                StreamKey(RequestId("r${count++}"), 0),
                WorkspaceId(workspace),
                name,
                cost,
                0,
                classes.getValue(name).targetMs,
                resumed
            )

        describe("admission") {
            // Guards against clients that wait for an answer that can only arrive too late.
            it("refuses a request whose expected wait exceeds its remaining time") {
                val queue = fairQueue(classes)
                repeat(20) { queue.offer(request("urgent", "w")) }
                val late = request("urgent", "w")
                val refused = admission().decide(queue, late, 1_000.0, 50.0, 0)
                refused.shouldBeInstanceOf<AdmissionDecision.Refused>().code shouldBe
                    ResultCode.DEADLINE_UNREACHABLE
                admission().decide(queue, late, 10_000.0, 50.0, 0) shouldBe
                    AdmissionDecision.Admitted
                admission().decide(queue, late.copy(resumed = true), 1_000.0, 50.0, 0) shouldBe
                    AdmissionDecision.Admitted
            }

            // Guards against urgent requests refused because of a large backlog of another class.
            it("counts the backlog of other classes only up to their share") {
                val queue = fairQueue(classes)
                repeat(500) { queue.offer(request("archive", "w")) }
                val next = request("urgent", "w")
                admission().decide(queue, next, 1_000.0, 50.0, 0) shouldBe
                    AdmissionDecision.Admitted
            }

            // Guards against large workspaces that fill the queue of a class and lock out others.
            it("admits a small workspace to a full class, and requests of other classes") {
                val queue = fairQueue(classes)
                val limited = admission(AdmissionLimits(maxClassRequests = 10))
                val decide = { next: QueuedRequest -> limited.decide(queue, next, 1e6, 0.0, 0) }
                repeat(10) { queue.offer(request("archive", "large")) }
                decide(request("archive", "large"))
                    .shouldBeInstanceOf<AdmissionDecision.Refused>().code shouldBe
                    ResultCode.OVERLOADED
                decide(request("archive", "small")) shouldBe AdmissionDecision.Admitted
                decide(request("urgent", "large")) shouldBe AdmissionDecision.Admitted
                repeat(10) { queue.offer(request("archive", "w$it")) }
                decide(request("archive", "other"))
                    .shouldBeInstanceOf<AdmissionDecision.Refused>()
            }
        }

        describe("the retry budget") {
            // Guards against retries that multiply the load of a failing system.
            it("allows at most its burst and a tenth of the requests as retries") {
                var budget = retryBudget(0)
                var retries = 0
                repeat(10_000) {
                    budget = budget.onRequest(0)
                    budget.withdraw(0)?.let {
                        budget = it
                        retries++
                    }
                }
                // The first request adds nothing, because the budget is full: 200 + 9,999 / 10.
                retries shouldBe 1_199
                budget.withdraw(0) shouldBe null
                (budget.withdraw(2_000) != null) shouldBe true
            }
        }
    })
