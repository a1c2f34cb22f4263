package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration

/** Streams that are to leave a draining server, for one that fails in some way. */
class FailedSuccessorSpec :
    DescribeSpec({
        fun ids(answer: String) =
            Regex("""id: (\d+)""").findAll(answer).map { it.groupValues[1].toInt() }.toList()

        fun RouterFixture.drain(server: EngineStandIn) =
            store.write("servers/${server.instanceId}", server.entry("model", state = "draining"))

        fun RouterFixture.others(first: EngineStandIn) = engines.filter { it !== first }

        /** A fixture each of whose engines is a path by itself. */
        fun fourPaths(): RouterFixture =
            RouterFixture(EVENTS, EVENT_INTERVAL_MS, isConfigured = false).also {
                val text =
                    configuration()
                        .replace("\"maxAttempts\":2", "\"maxAttempts\":4")
                        .replace("\"layers\":8", "\"layers\":1")
                it.store.write("op/config", text)
                it.awaitPaths()
            }

        /** Waits until the stream is open at two servers, the draining one first. */
        fun RouterFixture.moving(): List<EngineStandIn> {
            await { engines.any { it.runs.isNotEmpty() } }
            Thread.sleep(BEGUN_MS)
            val first = engines.first { it.runs.isNotEmpty() }
            others(first).forEach { it.script = Script.Stalled(0) }
            drain(first)
            await { others(first).any { it.runs.isNotEmpty() } }
            return listOf(first, others(first).first { it.runs.isNotEmpty() })
        }

        describe("a stream whose server is draining") {
            val failures =
                mapOf(
                    "answers with an error" to Script.Fail,
                    "closes the connection" to Script.LoseResponse,
                    "sends bytes without end" to Script.EndlessBody,
                    "breaks off inside its first event" to Script.Cut(0),
                    "breaks off after an event" to Script.Cut(1),
                    "sends no event" to Script.Stalled(0)
                )
            failures.forEach { (name, script) ->
                it("is whole if its successor $name") {
                    RouterFixture(EVENTS, EVENT_INTERVAL_MS).use { fixture ->
                        fixture.awaitPaths()
                        val answer =
                            fixture.open("/s/x", "stream", extraHeaders = LONG_STREAM).use {
                                await { fixture.engines.any { it.runs.isNotEmpty() } }
                                Thread.sleep(BEGUN_MS)
                                val first = fixture.engines.first { it.runs.isNotEmpty() }
                                fixture.others(first).forEach { it.script = script }
                                fixture.drain(first)
                                if (script is Script.Cut) {
                                    await { fixture.others(first).any { it.runs.isNotEmpty() } }
                                    Thread.sleep(RECOVERED_MS)
                                    fixture.others(first).forEach { it.script = Script.Serve }
                                }
                                it.getInputStream().readAllBytes().decodeToString()
                            }
                        fixture.engines.sumOf { it.runs.size } shouldBeGreaterThanOrEqual 2
                        ids(answer) shouldBe (1..EVENTS).toList()
                        answer shouldEndWith "0\r\n\r\n"
                    }
                }
            }

            it("is whole if both servers are lost at once") {
                fourPaths().use { fixture ->
                    val answer =
                        fixture.open("/s/x", "stream", extraHeaders = LONG_STREAM).use {
                            val open = fixture.moving()
                            fixture.engines.forEach { it.script = Script.Serve }
                            open.forEach { it.stop() }
                            it.getInputStream().readAllBytes().decodeToString()
                        }
                    ids(answer) shouldBe (1..EVENTS).toList()
                    answer shouldEndWith "0\r\n\r\n"
                }
            }

            it("is cancelled at both servers at its deadline") {
                RouterFixture(ENDLESS_EVENTS, EVENT_INTERVAL_MS).use { fixture ->
                    fixture.awaitPaths()
                    fixture.open("/s/x", "stream", extraHeaders = LONG_STREAM).use {
                        fixture.moving()
                        it.getInputStream().readAllBytes()
                    }
                    await(LEFT_MS) {
                        fixture.engines.sumOf { it.cancelledCount.get() } ==
                            fixture.engines.sumOf { it.runs.size }
                    }
                }
            }

            it("is cancelled at both servers when its caller leaves") {
                RouterFixture(EVENTS, EVENT_INTERVAL_MS).use { fixture ->
                    fixture.awaitPaths()
                    fixture.open("/s/x", "stream", extraHeaders = LONG_STREAM).use {
                        await { fixture.engines.any { it.runs.isNotEmpty() } }
                        Thread.sleep(BEGUN_MS)
                        val first = fixture.engines.first { it.runs.isNotEmpty() }
                        fixture.others(first).forEach { it.script = Script.Stalled(0) }
                        fixture.drain(first)
                        await { fixture.others(first).any { it.runs.isNotEmpty() } }
                    }
                    await(LEFT_MS) { fixture.engines.sumOf { it.cancelledCount.get() } == 2 }
                    await(LEFT_MS) { fixture.engines.sumOf { it.runs.size } == 2 }
                }
            }
        }
    })

private const val EVENTS = 60
private const val ENDLESS_EVENTS = 200
private const val EVENT_INTERVAL_MS = 40L

/** A stream that is expected to last longer than a draining server serves. */
private const val LONG_STREAM = "Length-Hint: 400\r\n"

/** The stream has had some events by then. */
private const val BEGUN_MS = 250L
private const val RECOVERED_MS = 300L

/** Servers stop soon after a caller has left. */
private const val LEFT_MS = 500L
