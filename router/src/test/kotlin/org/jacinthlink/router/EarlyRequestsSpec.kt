package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.jacinthlink.router.standins.WIDE_LIMITS
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.listen

class EarlyRequestsSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        fun open(port: Int, path: String): Socket =
            Socket("127.0.0.1", port).apply {
                soTimeout = 5_000
                val text = "GET $path HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                getOutputStream().write(text.toByteArray())
            }

        describe("requests that are held until a router serves") {
            // Guards against whole requests that get neither an answer nor a refusal because the
            // handler of one before them fails.
            it("are each answered, also if the handler fails for one") {
                val early = EarlyRequests(loop) { _, _ -> }
                val address = Address("127.0.0.1", 0)
                val listener = listen(loop, address, { WIDE_LIMITS }, early::hold)
                val sockets = listOf("/good", "/bad", "/good").map { open(listener.port, it) }
                Thread.sleep(200)
                val handler = ServerHandler { request, exchange ->
                    check(request.path == "/good") { "bad request" }
                    exchange.respond(200, emptyList(), ByteArray(0))
                }
                loop.execute { early.release(handler) }
                sockets.zip(listOf(200, 500, 200)).forEach { (socket, status) ->
                    val answer = socket.getInputStream().readAllBytes().decodeToString()
                    answer shouldStartWith "HTTP/1.1 $status"
                }
            }
        }
    })
