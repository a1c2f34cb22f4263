package org.jacinthlink.router.relay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.ServerExchange

class StreamResponseSpec :
    DescribeSpec({
        fun events(vararg ids: Long?): List<StreamEvent> =
            ids.map { id ->
                val text = if (id == null) "data: x\n\n" else "id: $id\n\n"
                StreamEvent(text.toByteArray(), id, isForeign = false)
            }

        describe("events that arrive together") {
            // Guards against an event loop that is taken by the writes of many short events
            // (review case 7).
            it("are sent to the caller in one write") {
                val exchange = RecordingExchange()
                StreamResponse(exchange, null).forward(events(1, 2, null), 200, emptyList(), 0)
                exchange.writes shouldContainExactly listOf("id: 1\n\nid: 2\n\ndata: x\n\n")
            }

            // Guards against a caller that gets an event twice, when a server repeats it at once.
            it("are sent once each") {
                val exchange = RecordingExchange()
                val response = StreamResponse(exchange, 1)
                response.forward(events(1, 2, 2, 1, 3, 3), 200, emptyList(), 0)
                exchange.writes shouldContainExactly listOf("id: 2\n\nid: 3\n\n")
                response.lastEventId shouldBe 3
                response.eventCount shouldBe 2
            }
        }
    })

/** Records what is written to the caller. */
private class RecordingExchange : ServerExchange {
    val writes = ArrayList<String>()

    override val isOpen = true

    override val isWritable = true

    override fun onWritable(listener: () -> Unit) = Unit

    override fun onClientClosed(listener: () -> Unit) = Unit

    override fun respond(status: Int, headers: List<HeaderField>, body: ByteArray) = Unit

    override fun startStream(status: Int, headers: List<HeaderField>) = Unit

    override fun write(part: ByteArray) {
        writes.add(part.decodeToString())
    }

    override fun endStream() = Unit

    override fun abort() = Unit

    override fun fail(status: Int) = Unit

    override fun withdraw(status: Int, headers: List<HeaderField>) = Unit
}
