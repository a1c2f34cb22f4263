package org.jacinthlink.runtime.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.Role

private val A = InstanceId("a")

private fun listed(name: String, leaving: Boolean = false) =
    ListedInstance(InstanceId(name), Role.SIDECAR, "$name:1", "z", leaving)

private fun described(name: String, draining: Boolean = false, load: LoadReport? = null) =
    InstanceDescription(
        InstanceId(name),
        Role.SIDECAR,
        "own:1",
        "z",
        0,
        draining = draining,
        load = load
    )

private fun table(
    rates: DescribeRates = DescribeRates(),
    interest: (String) -> Boolean = {
        true
    }
) =
    MembershipTable({ interest(it.instance.value) }, rates, Random(1))

/** Random operations on a table beside a plain account of what excludes each instance. */
private class MembershipRun(private val random: Random) {
    private val names = listOf("a", "b", "c")
    private val table = table()
    private val excludedAtMs = mutableMapOf<String, Long>()
    private val present = mutableSetOf<String>()
    private var nowMs = 0L

    fun repeatSteps(count: Int) = repeat(count) {
        nowMs += random.nextLong(1, 500)
        step(names.random(random))
        table.available().forEach { known ->
            val name = known.description.instance.value
            present shouldContain name
            excludedAtMs.keys shouldNotContain name
        }
    }

    private fun step(name: String) {
        val id = InstanceId(name)
        when (random.nextInt(5)) {
            0 -> relist()
            1 -> describe(name)
            2 -> exclude(name) { table.reportDraining(id, nowMs) }
            3 -> exclude(name) { table.reportUnreachable(id, nowMs) }
            else -> exclude(name) { table.describeFailed(id, true, nowMs) }
        }
    }

    private fun relist() {
        val kept = names.filter { random.nextInt(4) > 0 }
        val leaving = kept.filter { random.nextInt(4) == 0 }.toSet()
        table.applyList(kept.map { listed(it, it in leaving) })
        excludedAtMs.keys.retainAll(kept)
        present.clear()
        present += kept - leaving
    }

    private fun describe(name: String) {
        val askedAtMs = nowMs - random.nextLong(0, 1_000)
        table.described(InstanceId(name), described(name), askedAtMs, nowMs)
        if (askedAtMs > (excludedAtMs[name] ?: Long.MAX_VALUE)) excludedAtMs -= name
    }

    private fun exclude(name: String, report: () -> Unit) {
        report()
        if (table.listed().any { it.instance.value == name }) excludedAtMs[name] = nowMs
    }
}

class MembershipTableSpec :
    DescribeSpec({
        describe("a listed instance") {
            it("is available once described, at its listed address and under its own id") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.available().shouldBeEmpty()
                table.described(A, described("a~1"), 10, 20) shouldBe true
                val known = table.available().single()
                known.description.instance shouldBe InstanceId("a~1")
                known.description.address shouldBe "a:1"
                known.describedAtMs shouldBe 20
            }
            it("is excluded at once when it leaves, and forgotten when it is gone") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a"), 10, 20)
                table.applyList(listOf(listed("a", leaving = true))) shouldBe true
                table.available().shouldBeEmpty()
                table.applyList(emptyList())
                table.applyList(listOf(listed("a")))
                withClue("a description from before the absence") {
                    table.available().shouldBeEmpty()
                }
            }
            it("is not described if it is of no interest") {
                val table = table { it != "a" }
                table.applyList(listOf(listed("a"), listed("b")))
                table.takeDue(0).map { it.instance.value } shouldBe listOf("b")
                table.announced(described("a"), 10) shouldBe false
            }
            it("counts as down when another process answers at its address") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a~1"), 10, 20)
                table.described(A, described("b~1"), 30, 40)
                table.available().shouldBeEmpty()
            }
            it("does not tell listeners of a change of load alone") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a"), 10, 20)
                table.described(A, described("a", load = LoadReport(3)), 30, 40) shouldBe false
                table.available().single().description.load shouldBe LoadReport(3)
            }
        }

        describe("own evidence") {
            it("outweighs a description that was asked for before it") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a~1"), 10, 20)
                table.reportDraining(InstanceId("a~1"), 50) shouldBe true
                table.described(A, described("a~1"), askedAtMs = 49, nowMs = 60)
                table.available().shouldBeEmpty()
                table.described(A, described("a~1"), askedAtMs = 70, nowMs = 71) shouldBe true
                table.available() shouldHaveSize 1
            }
            it("of an earlier process does not hold against its successor") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a~1", draining = true), 10, 20)
                table.described(A, described("a~2"), 30, 40)
                table.available().single().description.instance shouldBe InstanceId("a~2")
                table.reportDraining(InstanceId("a~1"), 50) shouldBe false
                table.available() shouldHaveSize 1
            }
            it("excludes after one refused connection, but only after two silent ones") {
                val table = table()
                table.applyList(listOf(listed("a"), listed("b")))
                listOf("a", "b").forEach { table.described(InstanceId(it), described(it), 1, 2) }
                table.describeFailed(A, surelyDown = true, nowMs = 10)
                table.describeFailed(InstanceId("b"), surelyDown = false, nowMs = 10)
                table.available().map { it.description.instance.value } shouldBe listOf("b")
                table.describeFailed(InstanceId("b"), surelyDown = false, nowMs = 20)
                table.available().shouldBeEmpty()
            }
            it("leads to probes that grow apart until the instance answers") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a"), 0, 0)
                table.reportUnreachable(A, 1)
                val probesMs = mutableListOf<Long>()
                for (nowMs in 0L..120_000L step 10) {
                    table.takeDue(nowMs).forEach {
                        probesMs += nowMs
                        table.describeFailed(A, true, nowMs)
                    }
                }
                val gapsMs = probesMs.zipWithNext { a, b -> b - a }
                probesMs.first() shouldBeLessThanOrEqual 700
                gapsMs.max() shouldBeLessThanOrEqual 18_010
                probesMs.size shouldBeLessThanOrEqual 16
            }
        }

        describe("an instance that failed another process") {
            // Guards against a round of descriptions that hides a failure for minutes.
            it("is asked at once, and stays available until its own answer fails") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a"), 10, 20)
                table.takeDue(100).shouldBeEmpty()
                table.probe(A, 100)
                table.available() shouldHaveSize 1
                table.takeDue(100).map { it.instance } shouldBe listOf(A)
            }
        }

        describe("an unreachable instance") {
            // Guards against last attempts at instances that said that they take no work.
            it("is offered as a last resort, unless it drains or leaves") {
                val table = table()
                table.applyList(listOf(listed("a")))
                table.described(A, described("a"), 10, 20)
                table.unreachable().shouldBeEmpty()
                table.reportUnreachable(A, 30)
                table.unreachable().single().description.instance shouldBe A
                table.reportDraining(A, 40)
                table.unreachable().shouldBeEmpty()
            }
        }

        describe("a table") {
            // Guards against "unknown model" while instances on the list were not asked yet.
            it("is complete once each listed instance was described or asked in vain") {
                val table = table()
                table.isComplete() shouldBe false
                table.applyList(listOf(listed("a"), listed("b"), listed("c", leaving = true)))
                table.isComplete() shouldBe false
                table.described(A, described("a"), 10, 20)
                table.describeFailed(InstanceId("b"), surelyDown = true, 30)
                table.isComplete() shouldBe true
            }
        }

        describe("any order of lists, descriptions and reports") {
            it("never offers an instance that is unlisted, leaving or excluded since") {
                checkAll(300, Arb.long()) { seed ->
                    withClue("seed $seed") { MembershipRun(Random(seed)).repeatSteps(200) }
                }
            }
        }

        describe("the rate of descriptions") {
            it("stays bounded at 960 instances, and all are known in 16 s") {
                val table = table()
                table.applyList((1..960).map { listed("n$it") })
                val askedBySecond = mutableMapOf<Long, Int>()
                for (nowMs in 0L..60_000L step 100) {
                    table.takeDue(nowMs).forEach {
                        askedBySecond.merge(nowMs / 1_000, 1, Int::plus)
                        table.described(it.instance, described(it.instance.value), nowMs, nowMs + 1)
                    }
                    if (nowMs == 16_000L) table.available() shouldHaveSize 960
                }
                (0L..16L).forEach { (askedBySecond[it] ?: 0) shouldBeLessThanOrEqual 136 }
                (20L..59L).forEach { (askedBySecond[it] ?: 0) shouldBeLessThanOrEqual 5 }
            }
        }
    })
