package org.jacinthlink.cli.admin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.jacinthlink.entry.admin.EventsAnswer
import org.jacinthlink.runtime.events.Event

class TimeLineSpec :
    DescribeSpec({
        // The wall clock of the head is 40 ms behind the one of the entry.
        val received = Event("entry-0~1", "request_received", 1_000, 10, "r1")
        val opened = Event("stage-0~1", "stream_opened", 960, 20, "r1")
        val fault = Event("stage-0~1", "stage_fault", 970, 30, null, mapOf("stage" to "<b>"))
        val ended = Event("entry-0~1", "request_ended", 1_050, 40, "r1")
        val answer = EventsAnswer(listOf(ended, fault, opened, received), listOf("stage-1~1"))

        describe("the layout of a time line") {
            val layout = timeLineLayout(answer)

            // Guards against an effect above its cause when wall clocks differ.
            it("puts causes before effects by the logical clock") {
                layout.rows.map { it.event } shouldContainExactly
                    listOf(received, opened, fault, ended)
                layout.rows.map { it.offsetMs } shouldContainExactly listOf(40, 0, 10, 90)
            }
            // Guards against a process that is silently left out of the picture.
            it("gives each process one lane, those that did not answer included") {
                layout.lanes shouldContainExactly listOf("entry-0~1", "stage-0~1", "stage-1~1")
                layout.missing shouldBe setOf("stage-1~1")
                layout.rows.map { it.lane } shouldContainExactly listOf(0, 1, 1, 0)
            }
            // Guards against links between events of different requests.
            it("links an event with the one before it of the same request") {
                layout.rows.map { it.previousRow } shouldContainExactly listOf(null, 0, null, 1)
                layout.rows.map { it.isFault } shouldContainExactly
                    listOf(false, false, true, false)
            }
        }

        describe("the page of a time line") {
            val page = timeLinePage("request r1", answer)

            // Guards against a page that hides a missing process, or runs what a caller sent.
            it("names the missing processes and escapes all values") {
                page shouldContain "No answer from: stage-1~1"
                page shouldContain "stage-1~1 (no answer)"
                page shouldContain "stage=&lt;b&gt;"
                page shouldNotContain "<b>"
            }
            // Guards against a page that is broken where there is no network.
            it("loads nothing from elsewhere") {
                page.replace("http://www.w3.org/2000/svg", "") shouldNotContain "http"
                page shouldNotContain "<script"
            }
        }
    })
