package org.jacinthlink.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.http4k.core.Response
import org.http4k.core.Status

class HandlerErrorSpec :
    DescribeSpec({
        fun call(respond: () -> Response): PeerResult {
            val server = startHttpServer("127.0.0.1", 0, ServerLimits()) { respond() }
            val client = peerClient()
            return try {
                client.call(PeerCall("GET", "http://127.0.0.1:${server.port}/x"), 4_000)
            } finally {
                client.close()
                server.stop()
            }
        }

        describe("a request whose handler ends with an error of the JVM") {
            // Guards against a request that was read and is in no one's hands.
            it("is answered") {
                call { throw OutOfMemoryError("scripted") }
                    .shouldBeInstanceOf<PeerResult.Answered>()
                    .status shouldBe 500
            }
            it("is ended at once when its answer was deferred") {
                val startNs = System.nanoTime()
                call {
                    Response(Status.OK).body(DeferredBody { throw OutOfMemoryError("scripted") })
                }
                val elapsedMs = (System.nanoTime() - startNs) / 1_000_000
                (elapsedMs < 2_000) shouldBe true
            }
        }
    })
