package org.jacinthlink.router.relay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class EventSplitterSpec :
    DescribeSpec({
        fun EventSplitter.feedText(text: String): List<String> =
            feed(text.toByteArray()).map { "${it.id}:${it.bytes.decodeToString().trim()}" }

        describe("the bytes of a stream") {
            // Guards against a part of an event that is sent twice after a stream has resumed.
            it("are returned as complete events only") {
                val splitter = EventSplitter()
                splitter.feedText("id: 1\nda").shouldContainExactly()
                splitter.hasPartialEvent shouldBe true
                splitter.feedText("ta: x\n\nid: 2\ndata: y\n\n") shouldContainExactly
                    listOf("1:id: 1\ndata: x", "2:id: 2\ndata: y")
                splitter.hasPartialEvent shouldBe false
            }

            // Guards against a stream that counts as under way because its server sends nothing
            // but ends of lines (review case 7).
            it("hold no event where lines are empty") {
                val splitter = EventSplitter()
                splitter.feedText("\n\n\r\n\r\n\n\n").shouldContainExactly()
                splitter.hasPartialEvent shouldBe false
                splitter.feedText("\n\nid: 1\ndata: x\n\n\n\n") shouldContainExactly
                    listOf("1:id: 1\ndata: x")
                splitter.hasPartialEvent shouldBe false
            }

            it("give the same events wherever the input is split") {
                val text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n"
                for (cut in 1 until text.length) {
                    val splitter = EventSplitter()
                    val events =
                        splitter.feed(text.take(cut).toByteArray()) +
                            splitter.feed(text.drop(cut).toByteArray())
                    events.map { it.id } shouldContainExactly listOf(1L, 2L)
                    events.joinToString("") { it.bytes.decodeToString() } shouldBe text
                }
            }
        }
    })
