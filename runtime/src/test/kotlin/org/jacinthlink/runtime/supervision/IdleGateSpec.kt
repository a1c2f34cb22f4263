package org.jacinthlink.runtime.supervision

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.systemClock

class IdleGateSpec :
    DescribeSpec({
        describe("a repeated task behind a gate") {
            it("rests without work and runs while there is some (a request nobody watches)") {
                val scope = rootScope("test", eventLog("test", systemClock()))
                val hasWork = AtomicBoolean(false)
                val runs = AtomicInteger()
                val gate = IdleGate(hasWork::get)
                scope.repeat("task", { 1 }) {
                    gate.pass()
                    runs.incrementAndGet()
                }
                repeat(3) {
                    Thread.sleep(50)
                    val resting = runs.get()
                    Thread.sleep(50)
                    runs.get() shouldBe resting
                    hasWork.set(true)
                    gate.workArrived()
                    eventually(5.seconds) { runs.get() shouldBeGreaterThan resting + 3 }
                    hasWork.set(false)
                }
                scope.close()
            }
        }
    })
