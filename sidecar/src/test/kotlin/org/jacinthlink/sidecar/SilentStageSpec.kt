package org.jacinthlink.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit
import org.jacinthlink.standins.EngineSpeed
import org.jacinthlink.standins.FaultProxy
import org.jacinthlink.standins.ProxyDirection
import org.jacinthlink.standins.ProxyFaults
import org.jacinthlink.standins.ProxyListenerSettings
import org.jacinthlink.standins.referenceAnswer
import org.jacinthlink.standins.startFaultProxy

class SilentStageSpec :
    DescribeSpec({
        describe("a running pipeline") {
            it("recovers when a stage freezes, and refuses its late messages")
                .config(enabledOrReasonIf = unlessKnownRed) {
                    // Guards against a frozen stage that keeps its streams waiting, and against the
                    // messages that it sends after it resumes.
                    withFault { _, proxy ->
                        proxy.setFaults("b1", ProxyFaults(hold = ProxyDirection.TO_TARGET))
                        Thread.sleep(2_500)
                        proxy.setFaults("b1", ProxyFaults())
                    }
                }
            it("goes on when all present connections to a stage fall silent") {
                // Guards against a retry on the connection that fell silent.
                withFault { _, proxy ->
                    proxy.silenceExisting("b1")
                }
            }
            it("recovers when the last stage freezes") {
                // Guards against tokens that are delivered twice after the last stage is replaced.
                withFault { _, proxy ->
                    proxy.setFaults("c1", ProxyFaults(hold = ProxyDirection.TO_TARGET))
                    Thread.sleep(2_500)
                    proxy.setFaults("c1", ProxyFaults())
                }
            }
            listOf(
                "a stage" to listOf("b1", "b2"),
                "two stages" to listOf("b1", "b2", "c1", "c2")
            ).forEach { (stages, copies) ->
                it("keeps its streams while all copies of $stages are silent for a while") {
                    // Guards against streams that are ended for want of another copy, although the
                    // copies are merely late.
                    withFault { _, proxy ->
                        val hold = ProxyFaults(hold = ProxyDirection.TO_TARGET)
                        copies.forEach { proxy.setFaults(it, hold) }
                        Thread.sleep(1_500)
                        copies.forEach { proxy.setFaults(it, ProxyFaults()) }
                    }
                }
            }
            it("recovers when an engine freezes") {
                // Guards against a stage that answers while its engine does not.
                withFault { pipeline, _ ->
                    pipeline.stages.first { it.name == "b1" }.engine.setSpeed(
                        EngineSpeed(3_000.0, 0.0)
                    )
                }
            }
            it("recovers when the token messages to the head are lost for a while") {
                // Guards against a sampled token that never reaches its head.
                withFault { _, proxy ->
                    proxy.setFaults("a", ProxyFaults(refuse = true))
                    proxy.cutAll("a")
                    Thread.sleep(1_000)
                    proxy.setFaults("a", ProxyFaults())
                }
            }
        }
    })

private fun withFault(fault: (TestPipeline, FaultProxy) -> Unit) {
    val proxy = startFaultProxy()
    TestPipeline(LAYERS).use { pipeline ->
        fun proxied(name: String, first: Int, end: Int) =
            pipeline.add(name, first, end) { target ->
                proxy.addListener(ProxyListenerSettings(name, target))
            }
        val head = proxied("a", 0, 2)
        listOf("b1", "b2").forEach { proxied(it, 2, 4) }
        listOf("c1", "c2").forEach { proxied(it, 4, 6) }
        pipeline.awaitReady(head)
        Thread.sleep(500)
        val streams = (0 until 8).map { pipeline.open(head, "f$it", listOf("p$it"), 100) }
        streams.forEach { it.awaitTokens(FIRST_TOKENS) }
        fault(pipeline, proxy)
        streams.forEach { it.ended.get(30, TimeUnit.SECONDS) }
        println("longest gap: ${streams.maxOf { it.longestGapMs }} ms")
        streams.forEach {
            it.tokens shouldBe referenceAnswer(TestPipeline.MODEL, LAYERS, it.prompt, 100)
        }
        streams.indices.flatMap { pipeline.repeatedExecutions("f$it") }.shouldBeEmpty()
        streams.maxOf { it.longestGapMs } shouldBeLessThan 3_500L
    }
    proxy.stop()
}

private const val LAYERS = 6

/** Tokens that each stream has before the fault. */
private const val FIRST_TOKENS = 10
