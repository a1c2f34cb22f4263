package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Events of each stream come in this period. */
private const val PERIOD_MS = 40L
private const val TICK_MS = 10L

class StallDetectorSpec :
    DescribeSpec({
        val paths = listOf("x", "y", "z", "w").map { PathId("a", it) }

        /** A stream on each path, with events that are spread over the period. */
        fun signs(nowMs: Long, endsAtMs: (PathId) -> Long) = paths.mapIndexed { i, path ->
            val offsetMs = i * PERIOD_MS / paths.size
            val untilMs = minOf(nowMs, endsAtMs(path)) - offsetMs
            StreamActivity(path, untilMs / PERIOD_MS * PERIOD_MS + offsetMs, hasReceivedEvents = true)
        }

        /** The first silence that is found, and when. */
        fun firstSilence(untilMs: Long, endsAtMs: (PathId) -> Long): Pair<Long, StalledPaths>? {
            val watch = stallDetector()
            return (PERIOD_MS * 2..untilMs step TICK_MS).firstNotNullOfOrNull { nowMs ->
                watch.due(signs(nowMs, endsAtMs), nowMs).firstOrNull()?.let { nowMs to it }
            }
        }

        describe("the death of a server behind the first ones, with a stream on each path") {
            // Guards against streams that wait 120 ms because each path has only one of them.
            it("shows in the streams of the zone together") {
                val (foundAtMs, silent) = checkNotNull(firstSilence(9_000) { 5_000 })
                foundAtMs - 5_000 shouldBeLessThanOrEqual 90
                silent.name shouldBe "a"
                silent.paths shouldBe paths.toSet()
            }

            it("is asked for less and less often while nothing changes") {
                val watch = stallDetector()
                val askedAtMs = (100L..5_000 step TICK_MS).filter { nowMs ->
                    watch.due(signs(nowMs) { 1_000 }, nowMs).isNotEmpty()
                }
                (askedAtMs.zipWithNext { a, b -> b - a }.take(3)) shouldContainExactly
                    listOf(250L, 500L, 1_000L)
            }
        }

        describe("the death of one first server") {
            // Guards against a path that is never asked because the others of its zone go on.
            it("shows in the streams of its path") {
                val (foundAtMs, silent) =
                    checkNotNull(firstSilence(9_000) { if (it == paths[1]) 5_000 else 9_000 })
                foundAtMs - 5_000 shouldBeLessThanOrEqual 160
                silent.paths shouldBe setOf(paths[1])
            }
        }

        describe("a zone whose streams flow") {
            it("is not asked") {
                val watch = stallDetector()
                (100L..5_000 step TICK_MS).flatMap { watch.due(signs(it) { 9_000 }, it) }
                    .shouldBeEmpty()
            }
        }

        describe("a path that has brought no event to anyone") {
            it("is asked when it has kept its requests waiting for long") {
                val sign = StreamActivity(paths[0], 1_000, hasReceivedEvents = false)
                val watch = stallDetector()
                watch.due(listOf(sign), 1_600).shouldBeEmpty()
                watch.due(listOf(sign), 1_700).single().stalledMs shouldBe 700
            }
        }
    })
