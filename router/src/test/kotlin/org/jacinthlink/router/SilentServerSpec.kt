package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.shouldBeWhole

/** Sound servers that answer nothing for a while, beside a change of the configuration. */
class SilentServerSpec :
    DescribeSpec({
        /** Makes the server of a stream silent under way, and returns the whole response. */
        fun streamOver(fixture: RouterFixture, disturb: (EngineStandIn) -> Unit): String =
            fixture.open("/s/x", "stream").use { socket ->
                await { fixture.engines.any { it.runs.isNotEmpty() } }
                val first = fixture.engines.first { it.runs.isNotEmpty() }
                Thread.sleep(BEGUN_MS)
                disturb(first)
                first.fallSilent(SILENT_MS)
                fixture.store.write("op/config", configuration(2))
                socket.getInputStream().readAllBytes().decodeToString()
            }

        fun fixture(retryBudget: RetryBudgetSettings = RetryBudgetSettings()) =
            RouterFixture(EVENTS, EVENT_INTERVAL_MS, retryBudget = retryBudget)
                .also { it.awaitPaths() }

        describe("a stream whose server is silent for a second and goes on") {
            // Guards against streams that are cut because there are no retries left.
            it("is not cut when the retry budget is used up") {
                fixture(RetryBudgetSettings(ratio = 0.0, extra = 0.0)).use { fixture ->
                    shouldBeWhole(streamOver(fixture) {}, EVENTS)
                }
            }

            // Guards against streams that are cut because all other servers reject them.
            it("is not cut when the other servers are full") {
                fixture().use { fixture ->
                    val answer = streamOver(fixture) { first ->
                        fixture.engines.filter { it !== first }.forEach {
                            it.script = Script.Rejecting
                        }
                    }
                    shouldBeWhole(answer, EVENTS)
                }
            }
        }
    })

private const val EVENTS = 20
private const val EVENT_INTERVAL_MS = 40L

/** The stream has had some events by then. */
private const val BEGUN_MS = 250L

/** Longer than the pauses between events by far, and shorter than what engines wait for another. */
private const val SILENT_MS = 1_400L
