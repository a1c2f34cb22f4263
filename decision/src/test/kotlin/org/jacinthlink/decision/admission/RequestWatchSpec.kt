package org.jacinthlink.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class RequestWatchSpec :
    DescribeSpec({
        val open = mutableSetOf<String>()

        fun watch(vararg items: String): RequestWatch<String> {
            open.clear()
            open.addAll(items)
            return requestWatch { it in open }
        }

        describe("a request that nobody answers") {
            it("is overdue a little after its deadline, once") {
                val watch = watch("a")
                watch.begin("a", "id", nowMs = 1_000, endsAtMs = 1_500)
                watch.routed("a", "s", endsAtMs = 4_000)
                (1_000L..4_050L step 50).forEach { watch.takeOverdue(it).shouldBeEmpty() }
                watch.takeOverdue(4_100) shouldContainExactly
                    listOf(OverdueRequest("a", "id", "s", ageMs = 3_100))
                watch.takeOverdue(4_150).shouldBeEmpty()
            }

            // Guards against a guard that answers before the holder of a request, whose timer is
            // as late as the guard after a pause of the process.
            it("is left to its holder at the first call after a pause") {
                val watch = watch("a")
                watch.begin("a", "id", nowMs = 0, endsAtMs = 500)
                watch.takeOverdue(450).shouldBeEmpty()
                watch.takeOverdue(2_000).shouldBeEmpty()
                watch.takeOverdue(2_050).map { it.item } shouldContainExactly listOf("a")
            }

            it("keeps its age when it is handled once more") {
                val watch = watch("a")
                watch.begin("a", "id", nowMs = 0, endsAtMs = 500)
                watch.begin("a", "id", nowMs = 400, endsAtMs = 900)
                watch.oldestAgeMs(450) shouldBe 450
                watch.takeOverdue(850).shouldBeEmpty()
            }
        }

        describe("a request with an outcome") {
            it("is neither overdue nor the oldest") {
                val watch = watch("a", "b")
                watch.begin("a", "1", nowMs = 0, endsAtMs = 500)
                watch.begin("b", "2", nowMs = 300, endsAtMs = 10_000)
                watch.oldestAgeMs(400) shouldBe 400
                open.remove("a")
                watch.oldestAgeMs(400) shouldBe 100
                (500L..1_000L step 50).forEach { watch.takeOverdue(it).shouldBeEmpty() }
                open.remove("b")
                watch.oldestAgeMs(2_000) shouldBe 0
            }
        }
    })
