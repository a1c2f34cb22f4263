package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.shouldBeWhole
import org.jacinthlink.transport.valueOf

/** Streams that may not be resumed, and so have no other path than that of their only run. */
class SingleRunStreamSpec :
    DescribeSpec({
        /** Starts a stream, runs [disturb] with its engine, and returns the whole response. */
        fun stream(fixture: RouterFixture, disturb: (EngineStandIn) -> Unit): String {
            fixture.awaitPaths()
            return fixture.open("/single/x", "single", extraHeaders = LONG_STREAM).use { socket ->
                await { fixture.engines.any { it.runs.isNotEmpty() } }
                disturb(fixture.engines.first { it.runs.isNotEmpty() })
                socket.getInputStream().readAllBytes().decodeToString()
            }
        }

        fun RouterFixture.shouldHaveServed(answer: String, events: Int) {
            shouldBeWhole(answer, events)
            engines.flatMap { it.runs }
                .filter { it.request.headers.valueOf("Attempt-Id") == "single" } shouldHaveSize 1
        }

        describe("a stream that may run only once") {
            // Guards against a stream that the router cuts although its draining server would
            // serve it to its end.
            it("stays at a server that is draining") {
                RouterFixture(eventCount = 45, eventIntervalMs = 40).use { fixture ->
                    val answer = stream(fixture) {
                        val entry = it.entry("model", state = "draining")
                        fixture.store.write("servers/${it.instanceId}", entry)
                        Thread.sleep(ENTRY_READ_MS)
                        // Paths are planned when they are needed for a request.
                        fixture.open("/s/x", "other").close()
                    }
                    fixture.shouldHaveServed(answer, 45)
                }
            }

            // Guards against a stream that the router cuts before its first event.
            it("stays at a server that is slow to begin") {
                RouterFixture(eventCount = 3, eventIntervalMs = 600).use { fixture ->
                    fixture.shouldHaveServed(stream(fixture) {}, 3)
                }
            }

            // Guards against a stream that the router cuts because probes of its server fail.
            it("stays at a server that does not answer probes") {
                RouterFixture(eventCount = 8, eventIntervalMs = 250).use { fixture ->
                    val answer = stream(fixture) { it.reportDelayMs = 10_000 }
                    fixture.shouldHaveServed(answer, 8)
                }
            }
        }
    })

/** A stream that is expected to last longer than a draining server serves. */
private const val LONG_STREAM = "Length-Hint: 400\r\n"

/** Time after which a router has read a changed entry of a server. */
private const val ENTRY_READ_MS = 600L
