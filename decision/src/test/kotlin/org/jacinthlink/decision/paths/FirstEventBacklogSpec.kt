package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class FirstEventBacklogSpec :
    DescribeSpec({
        describe("a path that processes prompts in time") {
            it("receives all requests") {
                val backlog = firstEventBacklog<Int>()
                val accepted = (0 until 100).count { i ->
                    val nowMs = i * 10L
                    backlog.answered(i - 6)
                    backlog.acceptsMore(nowMs).also { if (it) backlog.recordSent(i, nowMs) }
                }
                accepted shouldBe 100
            }
        }

        describe("ten streams that move from a dead server's path to two others at once") {
            // Guards against prompts that nearly all wait on the path with slightly more free
            // memory: in one incident, 49 waited on one path and 10 on the other.
            it("put at most twice as many prompts on one path as on the other") {
                val memoryTaken = listOf(0.32, 0.40)
                val backlogs = memoryTaken.map { firstEventBacklog<Int>() }
                repeat(10) { stream ->
                    val next =
                        backlogs.indices.minBy { memoryTaken[it] + backlogs[it].waitingShare }
                    backlogs[next].recordSent(stream, 0)
                }
                val (less, more) = backlogs.map { it.waitingShare }.sorted()
                more shouldBeLessThanOrEqual 2 * less
            }
        }

        describe("a path whose server becomes twelve times slower") {
            // Guards against requests that are still sent to a slow path while another has free
            // capacity.
            it("receives only a small part of the requests") {
                val backlog = firstEventBacklog<Int>()
                val open = ArrayDeque<Int>()
                var sentCount = 0
                for (nowMs in 0L..3_000 step 10) {
                    if (nowMs % 500 == 0L) open.removeFirstOrNull()?.let { backlog.answered(it) }
                    if (backlog.acceptsMore(nowMs)) {
                        backlog.recordSent(sentCount, nowMs)
                        open.addLast(sentCount++)
                    }
                }
                sentCount shouldBeLessThanOrEqual 30
            }

            it("receives requests again once the oldest one has had an event") {
                val backlog = firstEventBacklog<String>()
                backlog.recordSent("slow", 0)
                backlog.acceptsMore(201) shouldBe false
                backlog.answered("slow")
                backlog.acceptsMore(210) shouldBe true
            }
        }
    })
