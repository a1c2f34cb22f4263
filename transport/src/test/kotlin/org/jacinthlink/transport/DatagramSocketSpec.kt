package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture

class DatagramSocketSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        describe("a datagram") {
            // Guards against gossip messages that are truncated when many servers change at once.
            it("of 20,000 bytes arrives complete") {
                val received = CompletableFuture<ByteArray>()
                val loopback = Address("127.0.0.1", 0)
                val receiver = datagramSocket(loop, loopback) { received.complete(it) }
                val sender = datagramSocket(loop, loopback) {}
                val bytes = ByteArray(20_000) { it.toByte() }
                loop.execute { sender.send(Address("127.0.0.1", receiver.port), bytes) }
                received.await().contentEquals(bytes) shouldBe true
            }
        }
    })
