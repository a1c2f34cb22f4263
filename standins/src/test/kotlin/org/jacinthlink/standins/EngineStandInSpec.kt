package org.jacinthlink.standins

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey

class EngineStandInSpec :
    DescribeSpec({
        val stream = StreamKey(RequestId("r1"), 0)

        fun engine(first: Int, end: Int) =
            EngineState(EngineSettings(initial = LoadOrder("m", first, end, 6, 1)))

        fun run(engine: EngineState, position: Int, payloads: List<String>): List<String> {
            val items = listOf(EngineInput(stream, position, payloads))
            engine.check(items).shouldBeInstanceOf<StepCheck.Accepted>()
            val output = engine.run(items).single()
            return output.nextToken?.let(::listOf) ?: output.payloads
        }

        describe("a pipeline of engines") {
            it("gives the reference answer for any split of layers and batching of the prompt") {
                val prompts = Arb.list(Arb.string(1..4), 1..8)
                checkAll(50, prompts, Arb.int(1..5), Arb.int(1..8)) { prompt, split, chunk ->
                    val first = engine(0, split)
                    val last = engine(split, 6)
                    var position = 0
                    var token = ""
                    prompt.chunked(chunk).forEach { part ->
                        token = run(last, position, run(first, position, part)).single()
                        position += part.size
                    }
                    val answer = mutableListOf(token)
                    repeat(4) {
                        answer += run(last, position, run(first, position, listOf(answer.last())))
                        position++
                    }
                    answer shouldBe referenceAnswer("m", 6, prompt, 5)
                }
            }
            it("depends on each earlier token, so that a lost KV state shows") {
                referenceAnswer("m", 6, listOf("a", "b"), 8) shouldBe
                    referenceAnswer("m", 6, listOf("a", "b"), 8)
                (
                    referenceAnswer("m", 6, listOf("a", "b"), 8) ==
                        referenceAnswer("m", 6, listOf("c", "b"), 8)
                    ) shouldBe false
            }
        }

        describe("an input that does not continue its stream") {
            it("is refused with the whole batch, counted, and leaves the state as it was") {
                val engine = engine(0, 3)
                run(engine, 0, listOf("a", "b"))
                val other = EngineInput(StreamKey(RequestId("r2"), 0), 0, listOf("x"))
                val repeated = EngineInput(stream, 1, listOf("b"))
                engine.check(listOf(other, repeated)).shouldBeInstanceOf<StepCheck.Refused>()
                engine.orderViolations shouldBe 1
                engine.executions(RequestId("r2")).executions shouldBe emptyList()
                run(engine, 2, listOf("c"))
                val counts = engine.executions(RequestId("r1"))
                counts.executions.map { it.count }.toSet() shouldBe setOf(1)
                counts.executions.size shouldBe 9
                counts.orderViolations shouldBe 1
            }
        }

        describe("a load order") {
            it("is refused when its fencing number is stale, if the engine checks it") {
                val engine = engine(0, 3)
                engine.load(LoadOrder("m", 3, 6, 6, 5)) shouldBe null
                engine.load(LoadOrder("m", 0, 3, 6, 4)).shouldNotBeNull()
                val lax = EngineState(EngineSettings(checksFence = false))
                lax.load(LoadOrder("m", 3, 6, 6, 5)) shouldBe null
                lax.load(LoadOrder("m", 0, 3, 6, 4)) shouldBe null
            }
        }
    })
