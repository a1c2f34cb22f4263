package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Interval between the events of each stream. */
private const val PERIOD_MS = 40L
private const val TICK_MS = 10L

class StallDetectorSpec :
    DescribeSpec({
        val paths = listOf("x", "y", "z", "w").map { PathId("a", it) }

        /** One stream on each path; their events are spread over the period. */
        fun activities(nowMs: Long, endsAtMs: (PathId) -> Long) = paths.mapIndexed { i, path ->
            val offsetMs = i * PERIOD_MS / paths.size
            val untilMs = minOf(nowMs, endsAtMs(path)) - offsetMs
            val lastEventMs = untilMs / PERIOD_MS * PERIOD_MS + offsetMs
            StreamActivity(path, lastEventMs, hasReceivedEvents = true)
        }

        /** The time of the first detection, and the stalled paths that were detected. */
        fun firstStall(untilMs: Long, endsAtMs: (PathId) -> Long): Pair<Long, StalledPaths>? {
            val detector = stallDetector()
            return (PERIOD_MS * 2..untilMs step TICK_MS).firstNotNullOfOrNull { nowMs ->
                detector.pathsToProbe(activities(nowMs, endsAtMs), nowMs).firstOrNull()?.let {
                    nowMs to
                        it
                }
            }
        }

        describe("the failure of a server behind the first ones, with a stream on each path") {
            // Guards against streams that wait 120 ms because each path has only one stream.
            it("is detected from all streams of the zone together") {
                val (detectedAtMs, stalled) = checkNotNull(firstStall(9_000) { 5_000 })
                detectedAtMs - 5_000 shouldBeLessThanOrEqual 90
                stalled.name shouldBe "a"
                stalled.paths shouldBe paths.toSet()
            }

            it("causes fewer and fewer probes while nothing changes") {
                val detector = stallDetector()
                val probedAtMs = (100L..5_000 step TICK_MS).filter { nowMs ->
                    detector.pathsToProbe(activities(nowMs) { 1_000 }, nowMs).isNotEmpty()
                }
                (probedAtMs.zipWithNext { a, b -> b - a }.take(3)) shouldContainExactly
                    listOf(250L, 500L, 1_000L)
            }
        }

        describe("the failure of one first server") {
            // Guards against a path that is never probed because the other paths of its zone
            // continue.
            it("is detected from the streams of its path") {
                val (detectedAtMs, stalled) =
                    checkNotNull(firstStall(9_000) { if (it == paths[1]) 5_000 else 9_000 })
                detectedAtMs - 5_000 shouldBeLessThanOrEqual 160
                stalled.paths shouldBe setOf(paths[1])
            }
        }

        describe("a zone whose streams have events") {
            it("is not probed") {
                val detector = stallDetector()
                (100L..5_000 step TICK_MS).flatMap {
                    detector.pathsToProbe(activities(it) { 9_000 }, it)
                }
                    .shouldBeEmpty()
            }
        }

        describe("a path on which no stream has had an event") {
            it("is probed when its requests have waited for long") {
                val activity = StreamActivity(paths[0], 1_000, hasReceivedEvents = false)
                val detector = stallDetector()
                detector.pathsToProbe(listOf(activity), 1_600).shouldBeEmpty()
                detector.pathsToProbe(listOf(activity), 1_700).single().stalledMs shouldBe 700
            }
        }
    })
