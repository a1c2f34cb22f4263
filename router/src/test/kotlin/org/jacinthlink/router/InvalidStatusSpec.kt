package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.jacinthlink.router.standins.RawServer
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.readRequestHead
import org.jacinthlink.router.standins.reportResponse
import org.jacinthlink.router.standins.requestIdIn

/** A server in trouble, which answers each request with the status 000. */
private class ZeroStatusServer(service: String) : AutoCloseable {
    private val server = RawServer(::serve)
    val entry = server.entry(service)

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            val id = requestIdIn(readRequestHead(input) ?: return)
            val answer = if (id == null) reportResponse("zero") else zeroAnswer(id)
            socket.getOutputStream().write(answer.toByteArray())
        }
    }

    private fun zeroAnswer(id: String) =
        "HTTP/1.1 000 Unknown\r\nAttempt-Id: $id\r\nResponse-Seal: s\r\n" +
            "Content-Length: 5\r\n\r\nwrong"

    override fun close() = server.close()
}

class InvalidStatusSpec :
    DescribeSpec({
        /** Replaces all servers of [service] by one that answers with the status 000. */
        fun withZeroStatus(service: String, action: (RouterFixture) -> Unit) =
            RouterFixture().use { fixture ->
                ZeroStatusServer(service).use { server ->
                    fixture.awaitPaths()
                    val replaced =
                        if (service == "desk") fixture.plainServers else fixture.engines
                    replaced.forEach { fixture.store.delete("servers/${it.instanceId}") }
                    fixture.store.write("servers/zero", server.entry)
                    Thread.sleep(1_500)
                    action(fixture)
                }
            }

        // Guards against callers that get bytes that are no response in the protocol.
        fun shouldBeOwnError(answer: String) {
            answer shouldStartWith "HTTP/1.1 502"
            answer shouldNotContain "wrong"
            answer shouldNotContain "Response-Seal"
        }

        describe("an answer with the status 000") {
            it("of a plain service is a failure with an open outcome") {
                withZeroStatus("desk") { shouldBeOwnError(it.call("/once/x", "once-1")) }
            }

            it("of a plain service is a failure for a request that may be repeated") {
                withZeroStatus("desk") { shouldBeOwnError(it.call("/safe/x", "safe-1", "GET")) }
            }

            it("of an engine is a failure of its stream") {
                withZeroStatus("model") { shouldBeOwnError(it.call("/s/x", "stream-1")) }
            }
        }
    })
