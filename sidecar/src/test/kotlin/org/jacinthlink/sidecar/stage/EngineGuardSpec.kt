package org.jacinthlink.sidecar.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.eventLog

class EngineGuardSpec :
    DescribeSpec({
        var nowMs = 1_000L
        val clock = Clock { nowMs }
        val inputs = listOf(EngineInput(StreamKey(RequestId("r"), 0), 0, listOf("x")))

        fun guard(engine: ModelEngine) =
            EngineGuard(engine, { EngineResult.Done(Unit) }, clock, eventLog("test", clock), 100.0)

        describe("a step whose connection breaks after the engine was loaded again") {
            // Guards against the loss of streams that began since: two steps break one by one.
            it("leaves the engine ready") {
                lateinit var guard: EngineGuard
                var calls = 0
                val engine = ScriptedEngine {
                    if (calls++ == 0) {
                        guard.step(inputs).shouldBeInstanceOf<EngineResult.Broken>()
                        guard.recover() shouldBe true
                    }
                    EngineResult.Broken("reset")
                }
                guard = guard(engine)
                guard.recover()
                guard.step(inputs).shouldBeNull()
                guard.ready shouldBe true
            }
        }

        describe("the age of a step") {
            // Guards against an engine that counts as frozen because its next step waits in it.
            it("begins anew when the engine ends a step") {
                lateinit var guard: EngineGuard
                var calls = 0
                val engine = ScriptedEngine {
                    if (calls++ == 0) {
                        nowMs += 600
                        guard.step(inputs)
                        guard.stepAgeMs(nowMs) shouldBe 0
                        nowMs += 600
                        guard.stepAgeMs(nowMs) shouldBe 600
                    }
                    EngineResult.Done(emptyList())
                }
                guard = guard(engine)
                guard.recover()
                guard.step(inputs)
                guard.stepAgeMs(nowMs) shouldBe 0
            }
        }
    })
