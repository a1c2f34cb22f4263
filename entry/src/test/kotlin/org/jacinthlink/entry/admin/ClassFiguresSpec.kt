package org.jacinthlink.entry.admin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class ClassFiguresSpec :
    DescribeSpec({
        describe("the figures of a class") {
            // Guards against percentiles of entries that are averaged, which hides a slow entry.
            it("give the percentile over all entries, 5% too high at most") {
                val fast = (1..90L).map { answeredFigures(it, 750) }.reduce(ClassFigures::plus)
                val slow = (1..10L).map { answeredFigures(1_000, 750) }.reduce(ClassFigures::plus)
                val both = fast + slow
                both.firstAnswerMs(0.95)!! shouldBeInRange 1_000L..1_050L
                both.firstAnswerMs(0.5)!! shouldBeInRange 50L..53L
                both.withinShare shouldBe 0.9
            }
            // Guards against a class that looks well served because its requests are refused.
            it("count refused and failed requests as outside of the target") {
                val figures = answeredFigures(1, 750) + ClassFigures(refused = 2, failed = 1)
                figures.withinShare shouldBe 0.25
                ClassFigures().withinShare.shouldBeNull()
            }
        }

        describe("the window") {
            // Guards against figures of an hour ago that are shown as those of now.
            it("forgets what is older than a minute") {
                val window = FiguresWindow()
                window.add("a", ClassFigures(refused = 1), 1_000)
                window.add("a", answeredFigures(5, 750), 30_000)
                window.total(60_999)["a"]?.ended shouldBe 2
                window.total(61_000)["a"]?.ended shouldBe 1
                window.total(90_000) shouldBe emptyMap()
            }
        }
    })
