package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.jacinthlink.router.relay.contentId
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.transport.valueOf

class HarmfulPartSpec :
    DescribeSpec({
        fun contentId(part: String) = contentId(part.toByteArray())

        describe("requests that share a part that crashes the engines that begin to answer") {
            // Guards against engines that crash one after the other, each under another request.
            it("are rejected after a few crashes, and others of their caller are served") {
                RouterFixture(peerPort = freePort()).use { fixture ->
                    fixture.engines.forEach { engine ->
                        engine.deadlyPart = "dead"
                        engine.onRestarted = {
                            val entry = engine.entry("model")
                            fixture.store.write("servers/${engine.instanceId}", entry)
                        }
                    }
                    fixture.awaitPaths()
                    val second = fixture.startSecond()
                    val routers = listOf(fixture.router, second)
                    await {
                        routers.all {
                            val answer =
                                fixture.call("/s/x", "first", to = it.clientsAddress)
                            answer.startsWith("HTTP/1.1 200")
                        }
                    }
                    fun request(id: String, part: String, router: Router): String =
                        fixture.call(
                            "/s/x",
                            id,
                            extraHeaders = "Prompt-Prefix: base:40,$part:60,own-$id:7\r\n",
                            to = router.clientsAddress
                        )
                    repeat(12) { i ->
                        request("sound-$i", "good", routers[i % 2])
                        request("deadly-$i", "dead", routers[(i + 1) % 2])
                    }
                    fixture.engines.sumOf { it.crashCount.get() } shouldBeLessThanOrEqual 5
                    val saved = "quarantine/${contentId("dead")}"
                    await { fixture.store.read(saved) != null }
                    routers.forEach {
                        val answer = request("late-${it.clientsAddress}", "dead", it)
                        answer shouldStartWith "HTTP/1.1 503"
                        answer shouldContain "Retry-After: "
                    }
                    await {
                        routers.all { request("again", "good", it).startsWith("HTTP/1.1 200") }
                    }
                    fixture.engines.flatMap { it.runs }.filter {
                        it.request.headers.valueOf("Attempt-Id").orEmpty().startsWith("late")
                    } shouldHaveSize 0
                    second.stop()
                }
            }

            // Guards against engines that crash again when all routers have lost their memory.
            it("are still rejected when all routers have restarted") {
                RouterFixture(peerPort = freePort()).use { fixture ->
                    fixture.awaitPaths()
                    val content = contentId("dead")
                    val untilMs = System.currentTimeMillis() + 60_000
                    fixture.store.write("quarantine/$content", "$untilMs")
                    val second = fixture.startSecond()
                    await {
                        fixture.call("/s/x", "first", to = second.clientsAddress)
                            .startsWith("HTTP/1.1 200")
                    }
                    val answer =
                        fixture.call(
                            "/s/x",
                            "later",
                            extraHeaders = "Prompt-Prefix: base:40,dead:60,own:7\r\n",
                            to = second.clientsAddress
                        )
                    answer shouldStartWith "HTTP/1.1 503"
                    second.stop()
                }
            }
        }
    })
