package org.jacinthlink.sidecar.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.HopBatch
import org.jacinthlink.api.HopItem
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StreamKey
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.http.peerClient

private class FaultsOfHead : StreamHead {
    val faults = LinkedBlockingQueue<StageFault>()

    override fun onTokens(tokens: List<SampledToken>) = emptyList<StreamKey>()

    override fun onFault(fault: StageFault) {
        faults += fault
    }
}

class StageRunnerSpec :
    DescribeSpec({
        val self = RouteStage(InstanceId("a"), "127.0.0.1:1", 0, 4)
        val clock = Clock { 1_000L }
        val events = eventLog("test", clock)
        val threads = Executors.newCachedThreadPool()
        afterSpec { threads.shutdownNow() }

        fun runner(onStep: (List<EngineInput>) -> EngineResult<List<EngineOutput>>): StageRunner {
            val load = { EngineResult.Done(Unit) }
            val guard = EngineGuard(ScriptedEngine(onStep), load, clock, events, 100.0)
            guard.recover()
            return StageRunner(self, guard, StagePeers(peerClient(), 400), threads, clock, events)
        }

        describe("a step that cannot be sent because an earlier one crashed the engine") {
            // Guards against a crash that is not counted because the later step ends first.
            it("lays the crash to the streams of the earlier step") {
                val isCrashing = CountDownLatch(1)
                val isOver = CountDownLatch(1)
                val head = FaultsOfHead()
                val runner = runner { inputs ->
                    if (inputs.single().stream == key("crashes")) {
                        isCrashing.countDown()
                        isOver.await()
                        EngineResult.Broken("reset")
                    } else {
                        EngineResult.NotSent("refused")
                    }
                }
                runner.localHead = head
                repeat(2) { threads.execute(runner::runLoop) }
                runner.receive(HopBatch(listOf(item("crashes", self))))
                isCrashing.await(5, TimeUnit.SECONDS) shouldBe true
                runner.receive(HopBatch(listOf(item("bystander", self))))
                val faults = List(2) { head.faults.poll(5, TimeUnit.SECONDS) }
                isOver.countDown()
                faults.associate { it.streams to it.backendServerCrashed } shouldBe
                    mapOf(listOf(key("crashes")) to true, listOf(key("bystander")) to false)
            }
        }

        describe("a step that the stop of its stage interrupts") {
            // Guards against streams that end as if their content had crashed an engine.
            it("is not reported as a crash") {
                val isRunning = CountDownLatch(1)
                val head = FaultsOfHead()
                val runner = runner {
                    isRunning.countDown()
                    try {
                        CountDownLatch(1).await()
                    } catch (_: InterruptedException) {
                        Thread.currentThread().interrupt()
                    }
                    EngineResult.Broken("interrupted")
                }
                runner.localHead = head
                val loop = thread { runner.runLoop() }
                runner.receive(HopBatch(listOf(item("stopped", self))))
                isRunning.await(5, TimeUnit.SECONDS) shouldBe true
                loop.interrupt()
                loop.join(5_000)
                loop.isAlive shouldBe false
                head.faults.toList() shouldBe emptyList()
            }
        }
    })

private fun key(name: String) = StreamKey(RequestId(name), 0)

private fun item(name: String, stage: RouteStage) =
    HopItem(key(name), 1, 0, listOf("x"), listOf(stage), stage.address)
