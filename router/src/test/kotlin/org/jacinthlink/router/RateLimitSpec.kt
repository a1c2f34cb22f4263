package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.transport.Address

/** Servers that name the requests a second that they take from all routers together. */
class RateLimitSpec :
    DescribeSpec({
        /** Sends requests to [routers] in turn for [WINDOW_MS], and returns the responses. */
        fun RouterFixture.callInTurn(path: String, method: String, routers: List<Address>) =
            buildList {
                val endsAtNanos = System.nanoTime() + WINDOW_MS * 1_000_000
                while (System.nanoTime() < endsAtNanos) {
                    add(call(path, "n-$size", method, to = routers[size % routers.size]))
                    Thread.sleep(CALL_PAUSE_MS)
                }
            }

        fun RouterFixture.shouldKeepTo(limited: List<EngineStandIn>, answers: List<String>) {
            limited.forEach { it.runs.size shouldBeInRange 4..MOST_REQUESTS }
            answers.filter { !it.startsWith("HTTP/1.1 200") }.forEach {
                it shouldStartWith "HTTP/1.1 503"
                it shouldContain "Retry-After: "
            }
            answers.count { it.startsWith("HTTP/1.1 200") } shouldBe engines.plus(plainServers)
                .sumOf { it.runs.size }
        }

        describe("servers of a plain service that name a limit") {
            // Guards against servers in need that get far more requests than they take, because
            // each router uses the whole limit.
            it("get no more than that from two routers, and the rest is refused") {
                RouterFixture(peerPort = freePort()).use { fixture ->
                    fixture.awaitPaths()
                    val second = fixture.startSecond()
                    Thread.sleep(HEARD_MS)
                    fixture.plainServers.forEach { it.rateLimit = RATE }
                    val routers = listOf(fixture.router.clientsAddress, second.clientsAddress)
                    val answers = fixture.callInTurn("/once/x", "POST", routers)
                    fixture.shouldKeepTo(fixture.plainServers, answers)
                    second.stop()
                }
            }

            // Guards against a limit that applies although the server says no more of it.
            it("get all requests again once they name it no more") {
                RouterFixture().use { fixture ->
                    fixture.awaitPaths()
                    fixture.plainServers.forEach { it.rateLimit = RATE }
                    repeat(10) { fixture.call("/safe/x", "early-$it", "GET") }
                    fixture.plainServers.forEach { it.rateLimit = null }
                    await { fixture.call("/safe/x", "lifts", "GET").startsWith("HTTP/1.1 200") }
                    await {
                        List(10) { fixture.call("/safe/x", "late-$it", "GET") }
                            .all { it.startsWith("HTTP/1.1 200") }
                    }
                }
            }
        }

        describe("engines that name a limit") {
            // Guards against streams beyond the limit. They may run once, so each run is an answer.
            it("get no more than that as the first of a path, and the rest is refused") {
                RouterFixture().use { fixture ->
                    fixture.awaitPaths()
                    fixture.engines.forEach { it.rateLimit = RATE }
                    val answers =
                        fixture.callInTurn(
                            "/single/x",
                            "POST",
                            listOf(fixture.router.clientsAddress)
                        )
                    val firsts = fixture.engines.filter { it.layers?.from == 0 }
                    fixture.shouldKeepTo(firsts, answers)
                }
            }
        }
    })

private const val RATE = 2.0
private const val WINDOW_MS = 4_000L
private const val CALL_PAUSE_MS = 30L

/** One and a half times what [RATE] allows within [WINDOW_MS], and five. */
private const val MOST_REQUESTS = 17

/** Routers have heard from each other by then. */
private const val HEARD_MS = 1_500L
