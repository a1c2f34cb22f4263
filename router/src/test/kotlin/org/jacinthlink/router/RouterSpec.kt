package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlin.concurrent.thread
import org.jacinthlink.router.standins.EngineStandIn.Companion.FAILURE
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.eventIds
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.transport.valueOf

class RouterSpec :
    DescribeSpec({
        describe("a router with engines that start without layers") {
            val fixture = RouterFixture()
            afterSpec { fixture.close() }

            it("assigns every layer once in each zone, with a fencing token") {
                fixture.awaitLayers()
                listOf("a", "b").forEach { zone ->
                    val held = fixture.engines.filter { it.zone == zone }.mapNotNull { it.layers }
                    (0 until 8).all { layer -> held.count { layer in it } == 1 } shouldBe true
                }
                fixture.engines.all { it.highestToken > 0 } shouldBe true
            }

            it("relays a stream with status, signature and each event once") {
                fixture.awaitLayers()
                val answer = fixture.call("/s/x", "id-1")
                answer shouldStartWith "HTTP/1.1 200"
                answer shouldContain "Response-Seal: seal-"
                eventIds(answer) shouldBe listOf(1, 2, 3, 4, 5)
            }

            // Guards against workspaces that callers can forge, and against API keys that leak.
            it("sets the workspace of the key, and forwards no key and at most the time left") {
                fixture.awaitLayers()
                fixture.call("/safe/x", "id-2", "GET", "Tenant: forged\r\n")
                val run = fixture.plainServers.flatMap { it.runs }.last { it.id() == "id-2" }
                run.request.headers.filter {
                    it.name.equals("Tenant", true)
                }.map { it.value } shouldBe
                    listOf("shop")
                run.request.headers.valueOf("Api-Key") shouldBe null
                val leftMs =
                    run.request.headers.valueOf("Request-Deadline")?.toLong() ?: Long.MAX_VALUE
                leftMs shouldBeLessThanOrEqual 3_000
            }

            it("answers 404 without a route and 401 without a valid key") {
                fixture.awaitLayers()
                fixture.call("/none/x", "id-3") shouldStartWith "HTTP/1.1 404"
                fixture.store.write("op/config", configuration(2, keys = "\"other\""))
                await { fixture.call("/s/x", "id-4").startsWith("HTTP/1.1 401") }
                fixture.store.write("op/config", configuration(3))
                await { fixture.call("/s/x", "id-5").startsWith("HTTP/1.1 200") }
            }

            // Guards against a return to an older configuration.
            it("keeps the newest configuration when an older or unreadable one is written") {
                fixture.awaitLayers()
                fixture.store.write("op/config", configuration(2, keys = "\"other\""))
                fixture.store.write("op/config", "{")
                Thread.sleep(400)
                fixture.call("/s/x", "id-6") shouldStartWith "HTTP/1.1 200"
            }
        }

        describe("engine failures") {
            // Guards against streams that end with their engine, and against events sent twice.
            it("make a stream continue on another path after its last complete event") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val firsts = fixture.engines.filter { it.layers?.from == 0 }
                    firsts.first().script = Script.Cut(2)
                    val answers = (1..4).map { fixture.call("/s/x", "cut-$it") }
                    answers.forEach { eventIds(it) shouldBe listOf(1, 2, 3, 4, 5) }
                    answers.forEach { it shouldEndWith "0\r\n\r\n" }
                }
            }

            // Guards against the text of an error in the middle of a stream, and against a stream
            // that ends there as if it were complete.
            it("that the next engine answers with an error do not show in the stream") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val firsts = fixture.engines.filter { it.layers?.from == 0 }
                    firsts.forEach { it.script = Script.Cut(2) }
                    firsts.first().script = Script.Fail
                    val answers = (1..4).map { fixture.call("/s/x", "error-$it") }
                    answers.forEach {
                        it shouldNotContain FAILURE
                        it shouldNotContain "HTTP/1.1 500"
                        eventIds(it) shouldBe listOf(1, 2, 3, 4, 5).take(eventIds(it).size)
                        it.endsWith("0\r\n\r\n") shouldBe (eventIds(it).size == 5)
                    }
                }
            }

            // Guards against an engine that crashes before its first event, whose response without
            // a length then looks complete.
            it("before the first event do not lead to an empty stream that looks complete") {
                RouterFixture(eventCount = 0).use { fixture ->
                    fixture.awaitLayers()
                    fixture.call("/s/x", "empty-1") shouldStartWith "HTTP/1.1 502"
                }
            }

            // Guards against streams that are cut because engines had rejected them before.
            it("after several rejections make a stream continue like any other") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.engines.forEach { it.script = Script.Rejecting }
                    val open = fixture.open("/s/x", "rejected-1")
                    await { fixture.engines.sumOf { it.rejectedCount.get() } == 5 }
                    fixture.engines.forEach { it.script = Script.Cut(2) }
                    val answer = open.getInputStream().readAllBytes().decodeToString()
                    eventIds(answer) shouldBe listOf(1, 2, 3, 4, 5)
                    answer shouldEndWith "0\r\n\r\n"
                }
            }

            // Guards against streams that wait for an engine that has become unresponsive.
            it("make streams leave a stalled path") {
                RouterFixture(eventCount = 40).use { fixture ->
                    fixture.awaitLayers()
                    val first = fixture.engines.first { it.layers?.from == 0 }
                    val open = (1..8).map { fixture.open("/s/x", "stalled-$it") }
                    await { first.runs.size >= 3 }
                    first.script = Script.Stalled(0)
                    first.stop()
                    val answers =
                        open.map { it.getInputStream().readAllBytes().decodeToString() }
                    answers.forEach { eventIds(it) shouldBe (1..40).toList() }
                }
            }

            it("that leave no path lead to a 503 with Retry-After at once, and nothing runs") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.engines.forEach { it.script = Script.Rejecting }
                    val answer = fixture.call("/s/x", "full-1")
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldContain "Retry-After: "
                    fixture.engines.flatMap { it.runs } shouldHaveSize 0
                }
            }
        }

        describe("an engine that carries out an order that arrived late") {
            // Guards against requests that are sent to the engine again and again until it is done.
            // In one run, 158 requests reached one such engine within 7 s.
            it("gets no requests until it is done") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.call("/s/x", "early")
                    val late = fixture.engines.first { it.runs.size > 0 }
                    late.script = Script.ChangingLayers
                    repeat(30) { i ->
                        fixture.call("/s/x", "late-$i") shouldStartWith "HTTP/1.1 200"
                        Thread.sleep(50)
                    }
                    late.rejectedCount.get() shouldBeInRange 1..3
                    late.script = Script.Serve
                    await {
                        fixture.call("/s/x", "later")
                        late.runs.size > 1
                    }
                }
            }
        }

        describe("a request that may run only once") {
            // Guards against a booking that is recorded twice.
            it("is not retried when its response is lost, and is not reported as not run") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.plainServers.forEach { it.script = Script.LoseResponse }
                    fixture.call("/once/x", "once-1") shouldStartWith "HTTP/1.1 502"
                    fixture.plainServers.flatMap { it.runs } shouldHaveSize 1
                }
            }

            it("is sent to another server when the first one has refused it") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.plainServers[0].script = Script.Rejecting
                    repeat(4) {
                        fixture.call("/once/x", "turned-$it") shouldStartWith "HTTP/1.1 200"
                    }
                    fixture.plainServers[0].runs shouldHaveSize 0
                }
            }
        }

        describe("an error response of a server to an idempotent request") {
            // Guards against a server's response that is replaced by a response of the router.
            it("is forwarded when another server fails as well") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.plainServers.forEach { it.script = Script.Fail }
                    val answer = fixture.call("/safe/x", "fail-1", "GET")
                    answer shouldStartWith "HTTP/1.1 500"
                    answer shouldContain "Response-Seal: seal-"
                    fixture.plainServers.flatMap { it.runs } shouldHaveSize 2
                }
            }

            it("is forwarded when the response of the other server is lost") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.plainServers[0].script = Script.Fail
                    fixture.plainServers[1].script = Script.LoseResponse
                    val answers = (1..4).map { fixture.call("/safe/x", "fail-2-$it", "GET") }
                    answers.any { it.startsWith("HTTP/1.1 500") } shouldBe true
                }
            }
        }

        describe("a caller that disconnects") {
            // Guards against engines that continue a request whose caller has disconnected.
            it("ends its request at the engine") {
                RouterFixture(eventCount = 500).use { fixture ->
                    fixture.awaitLayers()
                    fixture.open("/s/x", "gone-1").use { it.getInputStream().read() }
                    await { fixture.engines.sumOf { it.cancelledCount.get() } == 1 }
                }
            }
        }

        describe("the end of the layout leader") {
            // Guards against several seconds without a layout leader, and against a new leader
            // that moves all layers.
            it("makes another router the leader soon, which keeps all layers where they are") {
                RouterFixture(peerPort = freePort()).use { fixture ->
                    fixture.awaitLayers()
                    val second = fixture.startSecond()
                    Thread.sleep(1_500)
                    val before = fixture.engines.map { it.highestToken to it.layers }
                    fixture.store.read("duty/layout") shouldBe "r1"
                    fixture.router.stop()
                    fixture.store.delete("duty/layout")
                    await(limitMs = 3_000) { fixture.store.read("duty/layout") == "r2" }
                    Thread.sleep(1_000)
                    fixture.engines.map { it.highestToken to it.layers } shouldBe before
                    second.stop()
                }
            }
        }

        describe("a router that shuts down") {
            // Guards against streams that are accepted so late that the end of the process
            // interrupts them.
            it("refuses requests once it is out of rotation, and finishes older ones") {
                RouterFixture(eventCount = 120).use { fixture ->
                    fixture.awaitLayers()
                    val ending = thread { fixture.router.drain() }
                    Thread.sleep(800)
                    val open = fixture.open("/s/x", "older")
                    Thread.sleep(2_000)
                    val late = fixture.call("/s/x", "late")
                    late shouldStartWith "HTTP/1.1 503"
                    late shouldContain "Retry-After: "
                    val older = open.getInputStream().readAllBytes().decodeToString()
                    eventIds(older) shouldBe (1..120).toList()
                    older shouldEndWith "0\r\n\r\n"
                    ending.join()
                }
            }
        }

        describe("an outage of the store") {
            it("keeps the last configuration and the last servers in use") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    fixture.store.isUnavailable = true
                    Thread.sleep(1_000)
                    val answer = fixture.call("/s/x", "down-1")
                    answer shouldStartWith "HTTP/1.1 200"
                    answer shouldNotContain "Retry-After"
                }
            }
        }
    })

private fun org.jacinthlink.router.standins.EngineStandIn.Run.id(): String? =
    request.headers.valueOf("Attempt-Id")
