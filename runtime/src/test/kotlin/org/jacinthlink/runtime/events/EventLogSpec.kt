package org.jacinthlink.runtime.events

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.property.Arb
import io.kotest.property.arbitrary.char
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.jacinthlink.api.RequestId

class EventLogSpec :
    DescribeSpec({
        describe("the line of an event") {
            it("begins with the event and quotes values that hold spaces, quotes or nothing") {
                val fields = mapOf("a" to "x y", "b" to "say \"hi\"", "c" to "", "d" to "plain")
                eventLine(Event("i", "started", 7, 9, "r1", fields)) shouldBe
                    "event=started instance=i time_ms=7 logical=9 request_id=r1 " +
                    "a=\"x y\" b=\"say \\\"hi\\\"\" c=\"\" d=plain"
            }
            it("stays one line whatever a caller sends, so that no line can be forged") {
                val chars = Arb.list(Arb.char(), 0..30)
                checkAll(500, chars) { list ->
                    val text = list.joinToString("") + "\nevent=forged\u2028\u0085"
                    val line = eventLine(Event(text, text, 0, 0, text, mapOf(text to text)))
                    withClue("text $list") {
                        line shouldStartWith "event="
                        line.none { it.isISOControl() || it == '\u2028' || it == '\u2029' } shouldBe
                            true
                        outsideQuotes(line) shouldNotContain " event=forged"
                    }
                }
            }
            it("marks a long value as cut, so that callers cannot fill the memory") {
                recordedValue("path", "x".repeat(100_000)).length shouldBe 1_027
            }
        }

        describe("a log") {
            it("keeps the latest events only, and finds those of a request") {
                val log = eventLog("i", { 5L }, capacity = 3)
                (1..5).forEach { log.record("e$it", RequestId("r${it % 2}")) }
                log.recent().map { it.name } shouldContainExactly listOf("e3", "e4", "e5")
                log.recent(RequestId("r1")).map { it.name } shouldContainExactly listOf("e3", "e5")
            }
            it("masks secrets under any spelling, but not token counts") {
                val log = eventLog("i", { 5L })
                log.record("e", null, "Peer-Token" to "s3", "authorization" to "s3", "tokens" to 12)
                log.recent().single().fields.values shouldContainExactly listOf("***", "***", "12")
            }
        }

        describe("a filter of events") {
            // Guards against a time line that lacks the fault, or shows those of others.
            it("finds what concerns a failed instance under its name and its id") {
                val fault = Event("s-1~b", "stage_fault", 0, 1, "r", mapOf("stage" to "s-2~a"))
                val other = fault.copy(fields = mapOf("stage" to "s-22~a"))
                listOf("s-2", "s-2~a", "s-1", "stage_fault").forEach {
                    withClue(it) { EventFilter.OfFault(it).matches(fault) shouldBe true }
                }
                EventFilter.OfFault("s-2").matches(other) shouldBe false
                val usual = fault.copy(name = "stream_started")
                EventFilter.OfFault("s-2").matches(usual) shouldBe false
            }
        }

        describe("the logical clock") {
            it("sorts an effect after its cause although the wall clock of its process is behind") {
                val ahead = logicalClock()
                val behind = logicalClock()
                val cause = ahead.tick(nowMs = 10_000)
                behind.observe(cause, nowMs = 9_000)
                behind.tick(nowMs = 9_001) shouldBeGreaterThan cause
            }
            it("is not dragged along by a reading far in the future") {
                val clock = logicalClock()
                clock.observe(Long.MAX_VALUE, nowMs = 1_000)
                clock.observe(3_600_000L shl 16, nowMs = 1_000)
                clock.tick(nowMs = 1_000) shouldBeLessThan (2_000L shl 16)
            }
        }
    })

/** Text of [line] outside quoted values. */
private fun outsideQuotes(line: String): String =
    line.replace("\\\\", "").replace("\\\"", "").split('"').filterIndexed { i, _ -> i % 2 == 0 }
        .joinToString("_")
