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

/** A server in trouble, which answers each request with a head that begins with [statusAndId]. */
private class FaultyServer(service: String, private val statusAndId: (String) -> String) :
    AutoCloseable {
    private val server = RawServer(::serve)
    val entry = server.entry(service)

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            val id = requestIdIn(readRequestHead(input) ?: return)
            val answer = if (id == null) reportResponse("faulty") else answer(id)
            socket.getOutputStream().write(answer.toByteArray())
        }
    }

    private fun answer(id: String) =
        "${statusAndId(id)}Content-Length: 5\r\n\r\nwrong"

    override fun close() = server.close()
}

class InvalidStatusSpec :
    DescribeSpec({
        /** Replaces all servers of [service] by a [FaultyServer]. */
        fun withFaulty(
            service: String,
            statusAndId: (String) -> String,
            action: (RouterFixture) -> Unit
        ) =
            RouterFixture().use { fixture ->
                FaultyServer(service, statusAndId).use { server ->
                    fixture.awaitPaths()
                    val replaced =
                        if (service == "desk") fixture.plainServers else fixture.engines
                    replaced.forEach { fixture.store.delete("servers/${it.instanceId}") }
                    fixture.store.write("servers/faulty", server.entry)
                    Thread.sleep(1_500)
                    action(fixture)
                }
            }

        fun withZeroStatus(service: String, action: (RouterFixture) -> Unit) =
            withFaulty(service, ::zeroStatus, action)

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

        describe("a success other than 200 without a signature") {
            // Guards against a success that no server vouches for.
            it("is a failure of a stream that may run only once") {
                withFaulty("model", ::unsignedSuccess) {
                    shouldBeOwnError(it.call("/single/x", "single-1"))
                }
            }
        }
    })

private fun zeroStatus(id: String) =
    "HTTP/1.1 000 Unknown\r\nAttempt-Id: $id\r\nResponse-Seal: s\r\n"

private fun unsignedSuccess(id: String) = "HTTP/1.1 201 Created\r\nAttempt-Id: $id\r\n"
