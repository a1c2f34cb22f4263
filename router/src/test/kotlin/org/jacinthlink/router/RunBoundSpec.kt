package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldEndWith
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.transport.valueOf

/** Streams of a route whose requests two servers may run, while servers leave unannounced. */
class RunBoundSpec :
    DescribeSpec({
        fun RouterFixture.ranOn(id: String): List<EngineStandIn> =
            engines.filter { engine ->
                engine.runs.any { it.request.headers.valueOf("Attempt-Id") == id }
            }

        describe("a stream that two servers have broken off") {
            // Guards against a third run while a server whose entry was removed, because it
            // leaves, goes on.
            it("is not sent to a third server while these servers answer") {
                RouterFixture(EVENTS, EVENT_INTERVAL_MS).use { fixture ->
                    fixture.awaitPaths()
                    fixture.engines.forEach { it.script = Script.Cut(EVENTS_BEFORE_CUT) }
                    fixture.open("/s/x", ID).use { socket ->
                        for (runs in 1..2) {
                            await { fixture.ranOn(ID).size == runs }
                            fixture.ranOn(ID).forEach {
                                fixture.store.delete("servers/${it.instanceId}")
                            }
                        }
                        socket.getInputStream().readAllBytes()
                    }
                    fixture.ranOn(ID) shouldHaveSize 2
                }
            }

            it("is sent to a third server in place of one that no longer answers") {
                RouterFixture(EVENTS, EVENT_INTERVAL_MS).use { fixture ->
                    fixture.awaitPaths()
                    val answer = fixture.open("/s/x", ID).use { socket ->
                        for (runs in 1..2) {
                            await { fixture.ranOn(ID).size == runs }
                            Thread.sleep(BEGUN_MS)
                            fixture.ranOn(ID).forEach {
                                it.stop()
                                fixture.store.delete("servers/${it.instanceId}")
                            }
                        }
                        socket.getInputStream().readAllBytes().decodeToString()
                    }
                    fixture.ranOn(ID) shouldHaveSize 3
                    answer shouldEndWith "0\r\n\r\n"
                }
            }
        }
    })

private const val ID = "bound"
private const val EVENTS = 40
private const val EVENT_INTERVAL_MS = 40L

/** The stream has had some events by then. */
private const val BEGUN_MS = 250L

/** The entry of the server has been removed and read by then. */
private const val EVENTS_BEFORE_CUT = 18
