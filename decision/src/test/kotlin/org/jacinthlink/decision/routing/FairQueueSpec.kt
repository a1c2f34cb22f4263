package org.jacinthlink.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

private val CLASSES =
    listOf(
        WorkClass("urgent", targetMs = 500, worth = 6),
        WorkClass("middle", targetMs = 2_000, worth = 3),
        WorkClass("archive", targetMs = 60_000, worth = 1)
    ).associateBy { it.name }

private class Requests {
    private var count = 0

    fun next(
        workClass: String,
        workspace: String = "w",
        costTokens: Int = 10,
        deadlineAtMs: Long = 1_000_000,
        resumed: Boolean = false
    ) = QueuedRequest(
        StreamKey(RequestId("r${count++}"), 0),
        WorkspaceId(workspace),
        workClass,
        costTokens,
        0,
        deadlineAtMs,
        resumed
    )
}

private fun running(requests: Requests, vararg counts: Pair<String, Int>) =
    RunningCounts().apply {
        counts.forEach { (workClass, count) -> repeat(count) { started(requests.next(workClass)) } }
    }

class FairQueueSpec :
    DescribeSpec({

        describe("classes") {
            // Guards against a flood of one class that takes the share of another.
            it("are served tokens in proportion to their worth while all have a backlog") {
                checkAll(40, Arb.long(), Arb.int(20..400)) {
                        seed,
                        flood
                    ->
                    val random = Random(seed)
                    val requests = Requests()
                    val queue = fairQueue(CLASSES)
                    val flooder = CLASSES.keys.random(random)
                    val offer = { name: String ->
                        queue.offer(
                            requests.next(
                                name,
                                "w${random.nextInt(4)}",
                                1 + random.nextInt(50)
                            )
                        )
                    }
                    CLASSES.keys.forEach { name -> repeat(5) { offer(name) } }
                    repeat(flood) { offer(flooder) }
                    val served = HashMap<String, Double>()
                    repeat(3_000) {
                        val request = queue.poll(0)!!
                        val generated = random.nextInt(50)
                        queue.charge(request, generated)
                        served.merge(
                            request.workClass,
                            request.costTokens + generated.toDouble(),
                            Double::plus
                        )
                        offer(request.workClass)
                    }
                    val total = served.values.sum()
                    CLASSES.values.forEach {
                        served.getValue(it.name) / total shouldBe (it.worth / 10.0 plusOrMinus 0.02)
                    }
                }
            }

            // Guards against capacity that stays idle, and against credit accumulated while idle.
            it("leave an unused share to others and get only their share once active again") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                repeat(1_000) { queue.offer(requests.next("archive")) }
                repeat(500) { queue.poll(0)!!.workClass shouldBe "archive" }
                repeat(500) { queue.offer(requests.next("urgent")) }
                val next = List(70) { queue.poll(0)!!.workClass }
                next.first() shouldBe "urgent"
                next.count { it == "archive" } shouldBe 10
            }

            // Guards against urgent requests that wait behind a less urgent class within its share.
            it("are served in the order of urgency within their shares") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                listOf("archive", "middle", "urgent").forEach { queue.offer(requests.next(it)) }
                List(3) { queue.poll(0)!!.workClass } shouldContainExactly
                    listOf("urgent", "middle", "archive")
            }
        }

        describe("classes while all slots are taken") {
            // Guards against urgent requests that wait for a slot that a flood has borrowed.
            it("start requests only below their share of the slots by worth") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                CLASSES.keys.forEach { queue.offer(requests.next(it)) }
                val running = running(requests, "archive" to 10)
                queue.pollBelowShare(0, running, slots = 10)!!.workClass shouldBe "urgent"
                queue.pollBelowShare(0, running, slots = 10)!!.workClass shouldBe "middle"
                queue.pollBelowShare(0, running, slots = 10) shouldBe null
                queue.poll(0)!!.workClass shouldBe "archive"
            }
            // Guards against classes that exceed their share while all slots are taken.
            it("start no requests at their share") {
                val queue = fairQueue(CLASSES)
                val requests = Requests()
                repeat(2) { queue.offer(requests.next("urgent")) }
                val running =
                    running(requests, "urgent" to 6, "middle" to 3, "archive" to 1)
                queue.pollBelowShare(0, running, slots = 10) shouldBe null
            }
        }

        describe("workspaces while all slots are taken") {
            // Guards against a small workspace that waits until a large one frees a slot.
            it("start requests below an even share of the slots of their class") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                queue.offer(requests.next("urgent", workspace = "w"))
                queue.offer(requests.next("urgent", workspace = "small"))
                val running = running(requests, "urgent" to 10)
                queue.pollBelowShare(0, running, slots = 10)!!.workspace.value shouldBe "small"
                queue.pollBelowShare(0, running, slots = 10) shouldBe null
            }
        }

        describe("workspaces of a class") {
            // Guards against a small workspace that waits behind the backlog of a large one.
            it("with little demand are served next, whatever a large one has queued") {
                checkAll(100, Arb.long(), Arb.int(1..300)) {
                        seed,
                        backlog
                    ->
                    val random = Random(seed)
                    val requests = Requests()
                    val queue = fairQueue(CLASSES)
                    repeat(backlog) {
                        queue.offer(requests.next("middle", "large", 1 + random.nextInt(100)))
                    }
                    repeat(random.nextInt(backlog)) { queue.poll(0) }
                    queue.offer(requests.next("middle", "small"))
                    val position = generateSequence { queue.poll(0) }
                        .indexOfFirst { it.workspace.value == "small" }
                    position shouldBeLessThan 2
                }
            }

            // Guards against a workspace that accumulates credit while it is idle.
            it("share evenly after one of them becomes active again") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                repeat(300) { queue.offer(requests.next("middle", "a")) }
                repeat(100) { queue.poll(0) }
                repeat(100) { queue.offer(requests.next("middle", "b")) }
                List(100) { queue.poll(0)!!.workspace.value }.count { it == "b" } shouldBe 50
            }
        }

        describe("requests") {
            // Guards against a request that is lost or served twice.
            it("each leave the queue exactly once: polled, removed or expired") {
                checkAll(
                    200,
                    Arb.long(),
                    Arb.list(Arb.int(0..9), 1..200)
                ) { seed, steps ->
                    val random = Random(seed)
                    val requests = Requests()
                    val queue = fairQueue(CLASSES)
                    val offered = ArrayList<QueuedRequest>()
                    val removedRequests = ArrayList<QueuedRequest>()
                    steps.forEachIndexed { now, step ->
                        when (step) {
                            in 0..5 ->
                                requests.next(
                                    (CLASSES.keys + "unknown").random(random),
                                    "w${random.nextInt(3)}",
                                    random.nextInt(20),
                                    now + random.nextLong(60),
                                    random.nextInt(10) == 0
                                ).let {
                                    offered += it
                                    queue.offer(it)
                                }
                            in 6..7 -> queue.poll(now.toLong())?.let { removedRequests += it }
                            8 -> offered.randomOrNull(random)?.let { queue.remove(it.id) }
                                ?.let { removedRequests += it }
                            else -> removedRequests += queue.takeExpired(now.toLong())
                        }
                    }
                    removedRequests += generateSequence { queue.poll(steps.size.toLong()) }
                    removedRequests += queue.takeExpired(Long.MAX_VALUE)
                    queue.size shouldBe 0
                    queue.queuedTokens shouldBe 0
                    removedRequests shouldContainExactlyInAnyOrder offered
                }
            }

            // Guards against capacity used for requests whose client has given up.
            it("past their deadline are never returned by a poll") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                val late = requests.next("urgent", deadlineAtMs = 10)
                val inTime = requests.next("urgent", deadlineAtMs = 100)
                listOf(late, inTime).forEach(queue::offer)
                queue.poll(50) shouldBe inTime
                queue.takeExpired(50) shouldContainExactly listOf(late)
            }

            // Guards against a stream that waits in the queue again after its head failed.
            it("that resume a stream are served first") {
                val requests = Requests()
                val queue = fairQueue(CLASSES)
                repeat(5) { queue.offer(requests.next("urgent")) }
                queue.offer(requests.next("archive", resumed = true))
                queue.poll(0)!!.workClass shouldBe "archive"
            }
        }
    })
