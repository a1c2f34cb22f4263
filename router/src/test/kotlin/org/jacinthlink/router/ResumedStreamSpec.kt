package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.transport.valueOf

class ResumedStreamSpec :
    DescribeSpec({
        fun lastEventIds(servers: List<EngineStandIn>) =
            servers.flatMap { it.runs }.map { it.request.headers.valueOf("Last-Event-Id") }

        describe("the id of the last event that a caller has") {
            // Guards against a resumed stream that starts again at a service without an engine.
            it("reaches a server of a service without an engine") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.call("/safe/x", "resumed", extraHeaders = "Last-Event-Id: 12\r\n")
                    lastEventIds(fixture.plainServers).distinct() shouldContainExactly listOf("12")
                }
            }

            // Guards against an id that is lost because it is not a number.
            it("reaches a server unchanged if it is not a number") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val field = "Last-Event-Id: part-7\r\n"
                    fixture.call("/safe/x", "resumed-text", extraHeaders = field)
                    fixture.call("/s/x", "resumed-text-2", extraHeaders = field)
                    val servers = fixture.plainServers + fixture.engines
                    lastEventIds(servers).distinct() shouldContainExactly listOf("part-7")
                }
            }

            it("reaches an engine once") {
                RouterFixture().use { fixture ->
                    fixture.awaitPaths()
                    fixture.call("/s/x", "resumed-3", extraHeaders = "Last-Event-Id: 2\r\n")
                    fixture.engines.flatMap { it.runs }
                        .map { run ->
                            run.request.headers.filter { it.name == "Last-Event-Id" }
                                .map { it.value }
                        }
                        .filter { it != listOf("2") }
                        .shouldBeEmpty()
                }
            }
        }
    })
