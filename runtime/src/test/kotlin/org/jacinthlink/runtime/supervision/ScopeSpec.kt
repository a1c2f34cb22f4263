package org.jacinthlink.runtime.supervision

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import org.jacinthlink.runtime.events.eventLog

class ScopeSpec :
    DescribeSpec({
        val events = eventLog("test", { 0L })

        describe("a task that fails") {
            it("is logged, counted and started again with a doubled delay") {
                val meters = SimpleMeterRegistry()
                val scope = rootScope("restart", events, meters, RestartDelay(firstMs = 40))
                val startsNs = CopyOnWriteArrayList<Long>()
                val done = CountDownLatch(1)
                scope.run("task") {
                    startsNs += System.nanoTime()
                    check(startsNs.size == 4) { "fault" }
                    done.countDown()
                }
                done.await(5, TimeUnit.SECONDS) shouldBe true
                val gapsMs = startsNs.zipWithNext { a, b -> (b - a) / 1_000_000 }
                gapsMs[0] shouldBeGreaterThanOrEqual 40
                gapsMs[1] shouldBeGreaterThanOrEqual 80
                gapsMs[2] shouldBeGreaterThanOrEqual 160
                meters.counter("jacinthlink.task.failures", "task", "restart/task").count() shouldBe
                    3.0
                events.recent().count { it.fields["task"] == "restart/task" } shouldBe 3
                scope.close()
            }
            it("is started again after an Error, which must not end a loop silently") {
                val scope = rootScope("error", events, restartDelay = RestartDelay(firstMs = 1))
                val starts = CopyOnWriteArrayList<Int>()
                val done = CountDownLatch(1)
                scope.repeat("task", { 1 }) {
                    starts += 1
                    if (starts.size == 1) throw StackOverflowError()
                    done.countDown()
                }
                done.await(5, TimeUnit.SECONDS) shouldBe true
                scope.close()
            }
            it("waits no longer than the maximum, however often it failed") {
                RestartDelay(100, 10_000).afterMs(1_000) shouldBe 10_000
            }
        }

        describe("closing") {
            it("closes the newest first, and children before their parent") {
                val closed = CopyOnWriteArrayList<String>()
                val root = rootScope("root", events)
                root.onClose { closed += "root1" }
                root.onClose { closed += "root2" }
                listOf("a", "b").forEach { name ->
                    val child = root.child(name)
                    child.onClose { closed += child.name }
                }
                root.close()
                closed shouldContainExactly listOf("root/b", "root/a", "root2", "root1")
            }
            it("interrupts a waiting task before listeners release what it uses") {
                val ended = CompletableFuture<Boolean>()
                val started = CountDownLatch(1)
                val seen = CompletableFuture<Boolean>()
                val scope = rootScope("interrupt", events)
                scope.onClose { seen.complete(ended.isDone) }
                scope.run("wait") {
                    started.countDown()
                    try {
                        Thread.sleep(60_000)
                    } finally {
                        ended.complete(true)
                    }
                }
                started.await(5, TimeUnit.SECONDS)
                scope.close()
                seen.get(5, TimeUnit.SECONDS) shouldBe true
            }
            it("calls the other listeners although one fails") {
                val closed = CopyOnWriteArrayList<String>()
                val scope = rootScope("listeners", events)
                scope.onClose { closed += "first" }
                scope.onClose { error("fault") }
                scope.close()
                closed shouldContainExactly listOf("first")
            }
            it("refuses tasks and closes children that come later") {
                val scope = rootScope("late", events)
                scope.close()
                val closed = CompletableFuture<Unit>()
                scope.child("child").onClose { closed.complete(Unit) }
                closed.isDone shouldBe true
                val ran = CompletableFuture<Unit>()
                scope.run("task") { ran.complete(Unit) }
                Thread.sleep(50)
                ran.isDone shouldBe false
            }
        }
    })
