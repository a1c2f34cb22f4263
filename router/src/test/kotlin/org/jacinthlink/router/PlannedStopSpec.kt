package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.configuration

/** A planned stop of one router while everything else works. */
class PlannedStopSpec :
    DescribeSpec({
        fun later(call: () -> String): CompletableFuture<String> {
            val answer = CompletableFuture<String>()
            thread(isDaemon = true) { answer.complete(call()) }
            return answer
        }

        /** Sends requests that may run only once during the whole stop; returns the responses. */
        fun responsesDuringStop(graceS: Double): List<String> =
            RouterFixture(shutdownGraceS = graceS).use { fixture ->
                fixture.awaitLayers()
                fixture.plainServers.forEach { it.workMs = WORK_MS }
                val stop = thread { fixture.router.drain() }
                val answers = mutableListOf<CompletableFuture<String>>()
                while (stop.isAlive) {
                    val id = "late-${answers.size}"
                    answers.add(later { fixture.call("/once/x", id) })
                    Thread.sleep(PERIOD_MS)
                }
                // The process ends here.
                fixture.router.stop()
                answers.dropLast(CROSSING).map { it.get() }
            }

        describe("requests that come during a planned stop") {
            // Guards against requests that are taken late and cut at the end of the grace time,
            // among them those that may not be repeated.
            listOf(8.0, 4.0, 2.0).forEach { graceS ->
                it("get a whole answer or are refused, with a grace time of $graceS s") {
                    val answers = responsesDuringStop(graceS)
                    answers shouldHaveAtLeastSize 5
                    answers.forAll {
                        if (it.startsWith("HTTP/1.1 200")) {
                            it.substringAfter("\r\n\r\n") shouldStartWith "ok:d"
                        } else {
                            it shouldStartWith "HTTP/1.1 503"
                            it shouldEndWith "\r\n\r\n"
                        }
                    }
                }
            }

            // Guards against a request that is held until the first configuration and then passed
            // on although the router rejects requests by now.
            it("are refused if the first configuration comes after the last accepted request") {
                RouterFixture(shutdownGraceS = 2.0, isConfigured = false).use { fixture ->
                    val stop = thread { fixture.router.drain() }
                    Thread.sleep(500)
                    val answer = later { fixture.call("/once/x", "early") }
                    Thread.sleep(500)
                    fixture.store.write("op/config", configuration())
                    answer.get() shouldStartWith "HTTP/1.1 503"
                    fixture.plainServers.flatMap { it.runs }.shouldBeEmpty()
                    stop.join()
                }
            }
        }
    })

/** Time for which a server works on a request. */
private const val WORK_MS = 400L
private const val PERIOD_MS = 100L

/** Requests that may reach the router only when it has ended. */
private const val CROSSING = 2
