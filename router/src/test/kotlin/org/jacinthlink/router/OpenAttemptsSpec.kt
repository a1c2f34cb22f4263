package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration

/** Streams with two open attempts. */
class OpenAttemptsSpec :
    DescribeSpec({
        fun ids(answer: String) =
            Regex("""id: (\d+)""").findAll(answer).map { it.groupValues[1].toInt() }.toList()

        fun shouldBeWhole(answer: String, events: Int) {
            ids(answer) shouldBe (1..events).toList()
            answer shouldEndWith "0\r\n\r\n"
        }

        /** Runs [disturb] with the server of a stream under way, and returns the whole response. */
        fun RouterFixture.streamWhile(
            extraHeaders: String = "",
            disturb: (first: EngineStandIn) -> Unit
        ): String =
            open("/s/x", "stream", extraHeaders = extraHeaders).use { socket ->
                await { engines.any { it.runs.isNotEmpty() } }
                Thread.sleep(BEGUN_MS)
                disturb(engines.first { it.runs.isNotEmpty() })
                socket.getInputStream().readAllBytes().decodeToString()
            }

        fun RouterFixture.others(first: EngineStandIn) = engines.filter { it !== first }

        /** A fixture each of whose engines is a path by itself, and [attempts] servers may run. */
        fun fourPaths(attempts: Int, eventCount: Int): RouterFixture =
            RouterFixture(eventCount, EVENT_INTERVAL_MS, isConfigured = false).also {
                val text =
                    configuration()
                        .replace("\"maxAttempts\":2", "\"maxAttempts\":$attempts")
                        .replace("\"layers\":8", "\"layers\":1")
                it.store.write("op/config", text)
                it.awaitPaths()
            }

        fun EngineStandIn.neverAnswer() {
            script = Script.Stalled(0)
            reportDelayMs = 10_000
        }

        describe("a stream that two servers may run") {
            // Guards against a third run while the first server still has the request.
            it("is not sent to a third server while it is open at two") {
                fourPaths(attempts = 2, EVENTS).use { fixture ->
                    fixture.streamWhile { first ->
                        fixture.others(first).forEach { it.neverAnswer() }
                        first.fallSilent(10_000)
                    }
                    fixture.engines.count { it.runs.isNotEmpty() } shouldBeLessThanOrEqual 2
                }
            }
        }

        describe("a stream whose server works, but answers no probes") {
            // Guards against streams that are cut because needless moves have used up their runs.
            it("is not cut when this server is lost later") {
                RouterFixture(eventCount = 9, eventIntervalMs = 250).use { fixture ->
                    fixture.awaitPaths()
                    val answer = fixture.streamWhile { first ->
                        first.reportDelayMs = 10_000
                        Thread.sleep(NEEDLESS_MOVES_MS)
                        first.stop()
                    }
                    shouldBeWhole(answer, events = 9)
                }
            }
        }

        describe("a stream whose successor does not answer") {
            // Guards against a move whose second try ends at the next event of the first server.
            it("leaves its draining server for a third one") {
                fourPaths(attempts = 4, EVENTS).use { fixture ->
                    var from: EngineStandIn? = null
                    val answer = fixture.streamWhile(LONG_STREAM) { first ->
                        from = first
                        fixture.engines.filter { it.zone == first.zone && it !== first }.forEach {
                            it.neverAnswer()
                        }
                        val entry = first.entry("model", state = "draining")
                        fixture.store.write("servers/${first.instanceId}", entry)
                    }
                    fixture.engines.sumOf { it.runs.size } shouldBe 3
                    shouldBeWhole(answer, EVENTS)
                    from?.cancelledCount?.get() shouldBe 1
                }
            }

            // Guards against a stream that waits for its successor in vain until its deadline.
            it("is served by a third one when its own is silent") {
                fourPaths(attempts = 3, eventCount = 20).use { fixture ->
                    val answer = fixture.streamWhile { first ->
                        val others = fixture.others(first)
                        others.forEach { it.script = Script.Dripping }
                        first.fallSilent(10_000)
                        await { others.any { it.runs.isNotEmpty() } }
                        others.filter { it.runs.isEmpty() }.forEach { it.script = Script.Serve }
                    }
                    shouldBeWhole(answer, events = 20)
                }
            }
        }

        describe("a plain request whose second server has answered with an error") {
            // Guards against an answer that is thrown away while another attempt is open.
            it("gets this answer when the first server is lost afterwards") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val servers = fixture.plainServers
                    servers.forEach { it.workMs = 2_000 }
                    val answer = fixture.open("/safe/x", "plain").use { socket ->
                        await { servers.any { it.runs.isNotEmpty() } }
                        val first = servers.first { it.runs.isNotEmpty() }
                        val second = servers.first { it !== first }
                        second.script = Script.Fail
                        await { second.runs.isNotEmpty() }
                        Thread.sleep(ANSWERED_MS)
                        first.stop()
                        socket.getInputStream().readAllBytes().decodeToString()
                    }
                    answer shouldEndWith EngineStandIn.FAILURE
                }
            }

            // Guards against an answer that is thrown away at the deadline.
            it("gets this answer at its deadline when the first server has not answered") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val servers = fixture.plainServers
                    servers.forEach { it.workMs = 10_000 }
                    val answer = fixture.open("/safe/x", "plain").use { socket ->
                        await { servers.any { it.runs.isNotEmpty() } }
                        servers.first { it.runs.isEmpty() }.script = Script.Fail
                        socket.getInputStream().readAllBytes().decodeToString()
                    }
                    answer shouldEndWith EngineStandIn.FAILURE
                }
            }
        }
    })

private const val EVENTS = 60
private const val EVENT_INTERVAL_MS = 40L

/** A stream that is expected to last longer than a draining server serves. */
private const val LONG_STREAM = "Length-Hint: 400\r\n"

/** The stream has had some events by then. */
private const val BEGUN_MS = 250L
private const val NEEDLESS_MOVES_MS = 1_700L
private const val ANSWERED_MS = 100L
