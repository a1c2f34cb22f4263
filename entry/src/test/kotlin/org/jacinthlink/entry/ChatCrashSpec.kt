package org.jacinthlink.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import org.jacinthlink.api.ResultCode

class ChatCrashSpec :
    DescribeSpec({
        suspend fun fixture(test: suspend Fixture.() -> Unit) = Fixture().use { it.test() }

        describe("a chat completion that crashes its backend server") {
            // Guards against a request that crashes a third backend server on its caller's retry.
            it("runs isolated after a crash and is quarantined after the second") {
                fixture {
                    val crash = refused(ResultCode.STREAM_FAILED, notRun = false, crashed = true)
                    listOf("h1", "h2", "h3").forEach { head(it, crash) }
                    val answer = post(CHAT, BODY)
                    answer.code() shouldBe ResultCode.QUARANTINED.number
                    answer.body shouldContain "\"not_run\":false"
                    opened.map { it.isolated } shouldContainExactly listOf(false, true)
                    configuration.current.quarantine.keys shouldBe setOf(opened[0].fingerprint)
                    val same =
                        """{"messages":[{"content":" say  it","role":"user"}], "model":"m"}"""
                    val retried = post(CHAT, same)
                    retried.code() shouldBe ResultCode.QUARANTINED.number
                    retried.body shouldContain "\"not_run\":true"
                    opened.size shouldBe 2
                }
            }

            // Guards against backend servers that crash one after the other under requests that
            // share a message.
            it("is refused if it shares a message with those that crashed three servers") {
                fixture {
                    val crash = refused(ResultCode.STREAM_FAILED, notRun = false, crashed = true)
                    listOf("h1", "h2", "h3").forEach { name ->
                        head(name) { open, sink ->
                            thread {
                                // A backend server reads the prompt before it begins the answer.
                                Thread.sleep(100)
                                if ("dead" in open.promptTokens) {
                                    crash(open, sink)
                                } else {
                                    resume(open, sink)
                                }
                            }
                        }
                    }
                    fun body(shared: String, own: String) =
                        """{"model":"m","messages":[{"role":"system","content":"be brief"},
                        {"role":"user","content":"$shared"},{"role":"user","content":"$own"}]}"""
                    post(CHAT, body("fine", "0")).status shouldBe 200
                    repeat(4) {
                        post(CHAT, body("dead", "$it")).code() shouldBe
                            ResultCode.QUARANTINED.number
                    }
                    opened.count { "dead" in it.promptTokens } shouldBe 3
                    post(CHAT, body("fine", "5")).status shouldBe 200
                }
            }

            // Guards against a count of crashes that starts anew at each entry.
            it("counts the crashes that other entries saw") {
                fixture {
                    head("h1", ::resume)
                    post(CHAT, BODY).status shouldBe 200
                    val seen = opened.last().fingerprint
                    post(
                        "/v1/crashes",
                        """{"crashes":[{"fingerprint":"$seen","isolated":false}]}"""
                    ).status shouldBe
                        204
                    post(CHAT, BODY).status shouldBe 200
                    opened.map { it.isolated } shouldContainExactly listOf(false, true)
                }
            }

            // Guards against an entry that drains and retries a stream that crashed two servers.
            it("tells an entry that drains of a crash") {
                fixture {
                    entryPeer("leaving", draining = true)
                    head("h1", refused(ResultCode.STREAM_FAILED, false, crashed = true))
                    post(CHAT, BODY).code() shouldBe ResultCode.QUARANTINED.number
                    val seen = opened.first().fingerprint
                    eventually(5.seconds) {
                        called.filter { it.startsWith("leaving /v1/crashes") }
                            .sumOf { Regex(seen).findAll(it).count() } shouldBe 2
                    }
                }
            }

            // Guards against the quarantine of a request that several callers sent and that ran in
            // the batch of another one that crashed.
            it("counts one crash once for all requests of the same content") {
                fixture {
                    head("h1") { open, sink ->
                        if (open.isolated) {
                            resume(open, sink)
                        } else {
                            val crash = refused(ResultCode.STREAM_FAILED, false, crashed = true)
                            thread {
                                Thread.sleep(200)
                                crash(open, sink)
                            }
                        }
                    }
                    val callers =
                        List(6) { CompletableFuture.supplyAsync { post(CHAT, BODY).status } }
                    callers.map { it.get(9, TimeUnit.SECONDS) }.toSet() shouldBe setOf(200)
                    configuration.current.quarantine.keys shouldBe emptySet()
                    opened.clear()
                    post(CHAT, BODY).status shouldBe 200
                    opened.first().isolated shouldBe false
                }
            }
        }
    })
