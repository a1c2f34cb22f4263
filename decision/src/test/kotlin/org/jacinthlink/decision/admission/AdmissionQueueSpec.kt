package org.jacinthlink.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class AdmissionQueueSpec :
    DescribeSpec({
        fun request(name: String, priority: Int, arrivedAtMs: Long, tokens: Long = 900) =
            WaitingRequest(name, priority, tokens, arrivedAtMs, targetMs = 500)

        /** A room that frees [tokensPerS]. */
        fun room(tokensPerS: Long): AdmissionQueue<String> =
            admissionQueue<String>().apply {
                onFreed(0, 0)
                onFreed(tokensPerS, 1_000)
            }

        fun AdmissionQueue<String>.drain(nowMs: Long): List<String> =
            generateSequence { next(nowMs) { it <= 1_000 } }.map { it.item }.toList()

        describe("a flood of the least urgent class") {
            // Guards against urgent requests that wait behind a flood.
            it("lets urgent requests go first") {
                val room = room(30_000)
                room.offer(request("archive", 2, 1_000), 1_000, usualTokensPerMs = 4.0)
                room.offer(request("question", 1, 1_010), 1_010, usualTokensPerMs = 4.0)
                room.offer(request("quote", 0, 1_020), 1_020, usualTokensPerMs = 4.0)
                room.drain(1_050) shouldContainExactly listOf("quote", "question", "archive")
            }

            // Guards against callers who wait for an answer that comes when they have left.
            it("turns requests away at once that would wait too long, with the time to come back") {
                val room = room(9_000)
                val decisions =
                    (1..30).map {
                        room.offer(request("r$it", 2, 1_000), 1_000, usualTokensPerMs = 4.0)
                    }
                decisions.count { it == QueueDecision.Queued } shouldBe 13
                decisions.last().shouldBeInstanceOf<QueueDecision.Refused>()
            }
        }

        describe("a start, when callers of an outage come back at once") {
            // Guards against refusals while all engines are idle, because nothing was freed yet.
            it("lets as many wait as full paths would serve in time") {
                val room = admissionQueue<String>()
                val decisions =
                    (1..30).map { room.offer(request("r$it", 0, 0), 0, usualTokensPerMs = 12.0) }
                decisions.count { it == QueueDecision.Queued } shouldBe 17
            }

            // Guards against refusals while paths are empty and only read many prompts: seen after
            // the closing fault of trouble-1 of ubcls-router, 60 at the first router that was up.
            it("lets those wait for whom there is room already") {
                val room = admissionQueue<String>()
                val decisions =
                    (1..60).map {
                        room.offer(request("r$it", 0, 0), 0, 12.0, freeTokens = 36_000)
                    }
                decisions.count { it == QueueDecision.Queued } shouldBe 57
            }

            // Guards against callers who are sent away together, come back together and are
            // refused again.
            it("spreads the return of those that it refuses") {
                val room = admissionQueue<String>()
                val returns =
                    (1..30).map { room.offer(request("r$it", 0, 0), 0, usualTokensPerMs = 12.0) }
                        .filterIsInstance<QueueDecision.Refused>().map { it.retryAfterMs }
                returns.zipWithNext().all { (a, b) -> b - a >= 75 } shouldBe true
            }
        }

        describe("requests that are late already") {
            // Guards against an overload in which every request is a little late.
            it("wait behind those that can be on time") {
                val room = room(30_000)
                room.offer(request("late", 0, 1_000), 1_000, usualTokensPerMs = 4.0)
                room.offer(request("fresh", 1, 1_450), 1_450, usualTokensPerMs = 4.0)
                room.drain(1_500) shouldContainExactly listOf("fresh", "late")
            }

            it("are given up before their callers leave") {
                val room = room(30_000)
                room.offer(request("old", 0, 1_000), 1_000, usualTokensPerMs = 4.0)
                room.removeOverdue(2_301).map { it.item } shouldContainExactly listOf("old")
                room.size shouldBe 0
            }
        }

        describe("a large prompt") {
            // Guards against large prompts that smaller ones always pass.
            it("is not passed by smaller ones") {
                val room = room(30_000)
                room.offer(
                    request("large", 0, 1_000, tokens = 2_500),
                    1_000,
                    usualTokensPerMs = 4.0
                )
                room.offer(request("small", 0, 1_010, tokens = 100), 1_010, usualTokensPerMs = 4.0)
                room.next(1_020) { it <= 1_000 } shouldBe null
                room.next(1_030) { it <= 2_500 }?.item shouldBe "large"
            }
        }
    })
