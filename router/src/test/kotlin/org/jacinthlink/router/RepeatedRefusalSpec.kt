package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/**
 * An engine with all layers that refuses the first request and, if the next one comes on the same
 * connection, sends that refusal once more before it answers.
 */
private class RepeatingEngine : AutoCloseable {
    private val server = RawServer(::serve)
    private var hasRefused = false
    val entry = server.entry("model")

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        var refusal: String? = null
        while (true) {
            val id = requestIdIn(readRequestHead(input) ?: return)
            val answer =
                when {
                    id == null -> reportResponse("single")
                    !hasRefused -> refusalOf(id).also { refusal = it }
                    else -> refusal.orEmpty() + stream(id)
                }
            if (id != null) hasRefused = true
            socket.getOutputStream().write(answer.toByteArray())
        }
    }

    private fun refusalOf(id: String) =
        "HTTP/1.1 503 Unavailable\r\nAttempt-Id: $id\r\nNot-Executed: 1\r\n" +
            "Content-Length: 0\r\n\r\n"

    private fun stream(id: String) =
        "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nResponse-Seal: s\r\n" +
            "Content-Length: 15\r\n\r\nid: 1\ndata: t\n\n"

    override fun close() = server.close()
}

class RepeatedRefusalSpec :
    DescribeSpec({
        describe("a refusal that an engine sends once more on a kept connection") {
            // Guards against a caller that is told that a request has not run while it runs.
            it("is not taken for the answer to the next attempt of the same request") {
                RouterFixture().use { fixture ->
                    RepeatingEngine().use { engine ->
                        fixture.awaitLayers()
                        fixture.engines.forEach {
                            fixture.store.delete("servers/${it.instanceId}")
                        }
                        fixture.store.write("servers/single", engine.entry)
                        Thread.sleep(1_500)
                        val answer = fixture.call("/s/x", "refused-1")
                        answer shouldStartWith "HTTP/1.1 200"
                        Regex("""id: 1\n""").findAll(answer).count() shouldBe 1
                    }
                }
            }
        }
    })
