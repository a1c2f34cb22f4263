package org.jacinthlink.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

class SchedulingPolicySpec :
    DescribeSpec({
        val heads =
            listOf("a" to 3, "b" to 1, "c" to 2).map { (name, inFlight) ->
                HeadCandidate(InstanceId(name), "z", 100.0, inFlight = inFlight)
            }

        fun HeadSelector.pick(excluded: Set<InstanceId> = emptySet()) =
            choose(heads, excluded, 0, Random(1))?.instance?.value

        describe("the round robin baseline") {
            // Guards against a baseline that skips heads and so performs worse than it should.
            it("selects each head in turn") {
                val selector = headSelector(SchedulingPolicy.RoundRobin, "z")
                List(6) { selector.pick() } shouldContainExactly
                    listOf("a", "b", "c", "a", "b", "c")
                selector.pick(heads.map { it.instance }.toSet()) shouldBe null
            }
        }

        describe("the baseline of least requests in flight") {
            // Guards against a baseline that ignores the requests in flight.
            it("selects the head with the fewest, except excluded ones") {
                val selector = headSelector(SchedulingPolicy.LeastInFlight, "z")
                selector.pick() shouldBe "b"
                selector.pick(setOf(InstanceId("b"))) shouldBe "c"
            }
        }

        describe("the queue of a baseline") {
            val classes =
                listOf(WorkClass("low", 60_000, worth = 1), WorkClass("urgent", 500, worth = 100))
                    .associateBy { it.name }

            fun request(name: String, workClass: String) =
                QueuedRequest(
                    StreamKey(RequestId(name), 1),
                    WorkspaceId(name),
                    workClass,
                    costTokens = 10,
                    enqueuedAtMs = 0,
                    deadlineAtMs = 500
                )

            // Guards against a comparison with a baseline that orders requests by class.
            it("is first come, first served and refuses nothing before the deadline") {
                val policy = SchedulingPolicy.RoundRobin
                val queue = fairQueue(classes)
                val requests = listOf(request("1", "low"), request("2", "urgent"))
                requests.map { applyQueueDiscipline(policy, it) }.forEach {
                    admission(policy = policy).decide(queue, it, 0.001, 1e6, 0) shouldBe
                        AdmissionDecision.Admitted
                    queue.offer(it)
                }
                List(2) { queue.poll(0)?.id?.requestId?.value } shouldContainExactly
                    listOf("1", "2")
            }
        }
    })
