package org.jacinthlink.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.standins.referenceAnswer

class PipelineSpec :
    DescribeSpec({
        fun expected(stream: TestStream, count: Int) =
            referenceAnswer(TestPipeline.MODEL, LAYERS, stream.prompt, count)

        fun prompt(id: Int) = List(1 + id * 7 % 90) { "p$id-$it" }

        describe("one model over three sidecars") {
            val pipeline = TestPipeline(LAYERS)
            val head = pipeline.add("a", 0, 2)
            pipeline.add("b", 2, 4)
            pipeline.add("c", 4, 6)
            pipeline.awaitReady(head)
            afterSpec { pipeline.close() }

            it("gives crossing streams their own tokens and runs each position once") {
                // Guards against mixed-up streams and against repeated layers.
                val streams = (0 until 24).map { pipeline.open(head, "x$it", prompt(it), 20) }
                streams.forEach { it.ended.get(20, TimeUnit.SECONDS) }
                streams.forEach { stream ->
                    stream.events.last() shouldBe StreamEvent.End("length", 20)
                    stream.tokens shouldBe expected(stream, 20)
                }
                streams.indices.flatMap { pipeline.repeatedExecutions("x$it") }.shouldBeEmpty()
                pipeline.stages.sumOf { it.engine.orderViolations } shouldBe 0
            }
            it("continues a resumed stream at the next token index") {
                // Guards against tokens that the caller gets twice after the loss of a head.
                val whole = referenceAnswer(TestPipeline.MODEL, LAYERS, listOf("a", "b"), 9)
                val stream =
                    pipeline.open(head, "r", listOf("a", "b"), 9, whole.take(4), attempt = 1)
                stream.ended.get(10, TimeUnit.SECONDS)
                val tokens = stream.events.filterIsInstance<StreamEvent.Token>()
                tokens.map { it.index } shouldBe (4 until 9).toList()
                tokens.map { it.text } shouldBe whole.drop(4)
            }
            it("frees a stream whose entry went away") {
                // Guards against streams that run on for nobody.
                val stream = pipeline.open(head, "gone", listOf("a"), 100_000)
                stream.awaitTokens(1)
                stream.call.cancel()
                awaitOpenWork(pipeline, head)
            }
            it("ends a stream whose input crashed the engine and serves again later") {
                // Guards against a failover that carries the crash to the next backend server.
                val stream = pipeline.open(head, "bad", listOf("a", "crash"), 5)
                stream.ended.get(15, TimeUnit.SECONDS)
                val end = stream.events.last().shouldBeInstanceOf<StreamEvent.Refused>()
                end.backendServerCrashed shouldBe true
                end.notRun shouldBe false
                pipeline.awaitReady(head)
            }
            it("refuses new streams while draining and finishes the present ones") {
                // Guards against a planned stop that interrupts a request.
                val present = pipeline.open(head, "present", listOf("a"), 150)
                present.awaitTokens(1)
                head.sidecar.drain()
                Thread.sleep(100)
                val late = pipeline.open(head, "late", listOf("a"), 5)
                late.ended.get(5, TimeUnit.SECONDS)
                val refusal = late.events.last().shouldBeInstanceOf<StreamEvent.Refused>()
                refusal.code shouldBe ResultCode.DRAINING
                refusal.notRun shouldBe true
                present.ended.get(20, TimeUnit.SECONDS)
                present.tokens shouldBe expected(present, 150)
            }
        }

        describe("a stage that dies") {
            it("is replaced without a lost or repeated token") {
                // Guards against ended streams and wrong tokens after the loss of a stage.
                TestPipeline(LAYERS).use { pipeline ->
                    val head = pipeline.add("a", 0, 2)
                    val stages =
                        listOf("b1" to 2, "b2" to 2, "c1" to 4, "c2" to 4).map { (name, first) ->
                            pipeline.add(name, first, first + 2)
                        }
                    pipeline.awaitReady(head)
                    Thread.sleep(500)
                    val streams = (0 until 12).map { pipeline.open(head, "k$it", prompt(it), 120) }
                    streams.forEach { it.awaitTokens(10) }
                    stages.first { it.name == "b1" }.sidecar.stop()
                    Thread.sleep(300)
                    stages.first { it.name == "c2" }.sidecar.stop()
                    streams.forEach { it.ended.get(30, TimeUnit.SECONDS) }
                    streams.forEach { it.tokens shouldBe expected(it, 120) }
                    streams.indices.flatMap { pipeline.repeatedExecutions("k$it") }.shouldBeEmpty()
                    println("longest gap: ${streams.maxOf { it.longestGapMs }} ms")
                    streams.maxOf { it.longestGapMs } shouldBeLessThan 2_000L
                }
            }
            it("without a replacement ends its streams as failed after running") {
                // Guards against a stream that hangs, and against a wrong "not run".
                TestPipeline(LAYERS).use { pipeline ->
                    val head = pipeline.add("a", 0, 2)
                    val last = pipeline.add("b", 2, 6)
                    pipeline.awaitReady(head)
                    val stream = pipeline.open(head, "s", listOf("a"), 500)
                    stream.awaitTokens(5)
                    last.sidecar.stop()
                    stream.ended.get(5, TimeUnit.SECONDS)
                    val end = stream.events.last().shouldBeInstanceOf<StreamEvent.Refused>()
                    listOf(end.code to end.notRun) shouldContain (ResultCode.STREAM_FAILED to false)
                }
            }
        }
    })

private fun awaitOpenWork(pipeline: TestPipeline, head: TestStage) {
    repeat(100) {
        val body = pipeline.load(head)
        if (body.runningStreams == 0) return
        Thread.sleep(50)
    }
    error("the stream is still running")
}

private const val LAYERS = 6
