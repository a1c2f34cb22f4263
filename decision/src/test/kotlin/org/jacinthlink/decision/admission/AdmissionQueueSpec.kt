package org.jacinthlink.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class AdmissionQueueSpec :
    DescribeSpec({
        fun request(name: String, priority: Int, arrivedAtMs: Long, tokens: Long = 900) =
            WaitingRequest(name, priority, tokens, arrivedAtMs, targetMs = 500)

        /** A queue with a measured rate of [tokensPerS] freed tokens per second. */
        fun queue(tokensPerS: Long): AdmissionQueue<String> =
            admissionQueue<String>().apply {
                onFreed(0, 0)
                onFreed(tokensPerS, 1_000)
            }

        fun AdmissionQueue<String>.drain(nowMs: Long): List<String> =
            generateSequence { next(nowMs) { it <= 1_000 } }.map { it.item }.toList()

        describe("a flood of the least urgent class") {
            // Guards against urgent requests that wait behind a flood of less urgent ones.
            it("lets urgent requests go first") {
                val queue = queue(30_000)
                queue.offer(request("archive", 2, 1_000), 1_000, usualTokensPerMs = 4.0)
                queue.offer(request("question", 1, 1_010), 1_010, usualTokensPerMs = 4.0)
                queue.offer(request("quote", 0, 1_020), 1_020, usualTokensPerMs = 4.0)
                queue.drain(1_050) shouldContainExactly listOf("quote", "question", "archive")
            }

            // Guards against callers that wait for a response that arrives after their timeout.
            it("immediately refuses requests that would wait too long, with a retry time") {
                val queue = queue(9_000)
                val decisions =
                    (1..30).map {
                        queue.offer(request("r$it", 2, 1_000), 1_000, usualTokensPerMs = 4.0)
                    }
                decisions.count { it == QueueDecision.Queued } shouldBe 13
                decisions.last().shouldBeInstanceOf<QueueDecision.Refused>()
            }
        }

        describe("a restart after an outage, when all callers retry at the same time") {
            // Guards against refusals while all engines are idle, because no memory has been freed
            // yet.
            it("queues as many requests as full paths would serve in time") {
                val queue = admissionQueue<String>()
                val decisions =
                    (1..30).map { queue.offer(request("r$it", 0, 0), 0, usualTokensPerMs = 12.0) }
                decisions.count { it == QueueDecision.Queued } shouldBe 17
            }

            // Guards against refusals while the memory of the paths is free and they only process
            // many prompts: after one fault, the first router that was up refused 60 requests.
            it("queues requests for which there is already free memory") {
                val queue = admissionQueue<String>()
                val decisions =
                    (1..60).map {
                        queue.offer(request("r$it", 0, 0), 0, 12.0, freeTokens = 36_000)
                    }
                decisions.count { it == QueueDecision.Queued } shouldBe 57
            }

            // Guards against callers that are refused together, return together and are refused
            // again.
            it("spreads the retries of refused requests over time") {
                val queue = admissionQueue<String>()
                val retriesMs =
                    (1..30).map { queue.offer(request("r$it", 0, 0), 0, usualTokensPerMs = 12.0) }
                        .filterIsInstance<QueueDecision.Refused>().map { it.retryAfterMs }
                retriesMs.zipWithNext().all { (a, b) -> b - a >= 75 } shouldBe true
            }
        }

        describe("requests that are already late") {
            // Guards against an overload in which every request is slightly late.
            it("wait behind those that can be on time") {
                val queue = queue(30_000)
                queue.offer(request("late", 0, 1_000), 1_000, usualTokensPerMs = 4.0)
                queue.offer(request("fresh", 1, 1_450), 1_450, usualTokensPerMs = 4.0)
                queue.drain(1_500) shouldContainExactly listOf("fresh", "late")
            }

            it("are removed before their callers time out") {
                val queue = queue(30_000)
                queue.offer(request("old", 0, 1_000), 1_000, usualTokensPerMs = 4.0)
                queue.removeOverdue(2_301).map { it.item } shouldContainExactly listOf("old")
                queue.size shouldBe 0
            }
        }

        describe("a large prompt") {
            // Guards against large prompts that smaller ones always overtake.
            it("is not overtaken by smaller ones") {
                val queue = queue(30_000)
                queue.offer(
                    request("large", 0, 1_000, tokens = 2_500),
                    1_000,
                    usualTokensPerMs = 4.0
                )
                queue.offer(request("small", 0, 1_010, tokens = 100), 1_010, usualTokensPerMs = 4.0)
                queue.next(1_020) { it <= 1_000 } shouldBe null
                queue.next(1_030) { it <= 2_500 }?.item shouldBe "large"
            }
        }
    })
