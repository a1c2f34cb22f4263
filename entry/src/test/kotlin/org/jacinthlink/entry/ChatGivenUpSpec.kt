package org.jacinthlink.entry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.PushSink

private const val STREAMED =
    """{"model":"m","messages":[{"role":"user","content":"say it"}],"stream":true}"""
private const val WHOLE = " t0 t1 t2 t3 t4"
private const val LATE_MS = 3_000L
private const val STREAMS = 30

private fun PeerResult.Answered.content(): String =
    Regex("\"content\":\"([^\"]*)\"").findAll(body).joinToString("") { it.groupValues[1] }

private fun Fixture.patientPost(): PeerResult.Answered {
    val headers = mapOf("x-jacinthlink-workspace" to "w", "x-jacinthlink-class" to "urgent")
    val call = PeerCall("POST", base + CHAT, STREAMED, headers)
    return client.call(call, 20_000, fresh = true) as PeerResult.Answered
}

/** Sends one token, is silent for [silentMs], and sends the others unless it was given up. */
private fun late(sink: PushSink, silentMs: Long = LATE_MS) {
    sink.event(StreamEvent.Token(0, " t0"))
    thread {
        Thread.sleep(silentMs)
        sink.tokens(1 until ANSWER_TOKENS, ANSWER_TOKENS)
    }
}

class ChatGivenUpSpec :
    DescribeSpec({
        suspend fun fixture(test: suspend Fixture.() -> Unit) = Fixture().use { it.test() }

        describe("a stream whose head is silent for three seconds and goes on") {
            // Guards against a stream that is given up before another head has delivered a part.
            listOf<Pair<String, ((StreamOpen, PushSink) -> Unit)?>>(
                "there is no other head" to null,
                "another head refuses it" to refused(ResultCode.OVERLOADED),
                "another head is draining" to refused(ResultCode.DRAINING),
                "another head breaks it" to { _, sink -> sink.close() },
                "another head accepts it and is silent too" to { _, _ -> }
            ).forEach { (situation, other) ->
                it("is whole when $situation") {
                    fixture {
                        val first = { open: StreamOpen, sink: PushSink ->
                            if (open.stream.attempt == 0) {
                                late(sink)
                            } else {
                                other?.invoke(open, sink) ?: Unit
                            }
                        }
                        head("h1", first)
                        if (other != null) head("h2", first)
                        val answer = post(CHAT, STREAMED)
                        withClue(answer.body.takeLast(300)) {
                            answer.content() shouldBe WHOLE
                        }
                    }
                }
            }

            // Guards against streams that are closed for want of a retry although their head works.
            it("is whole while the retry budget is used up") {
                fixture {
                    val script = { open: StreamOpen, sink: PushSink ->
                        if (open.stream.attempt == 0) late(sink) else sink.close()
                    }
                    listOf("h1", "h2").forEach { head(it, script) }
                    val answers = List(STREAMS) { CompletableFuture<String>() }
                    // Equal contents would wait for each other.
                    answers.forEachIndexed { index, answer ->
                        val body = STREAMED.replace("say it", "say $index")
                        thread { answer.complete(post(CHAT, body).content()) }
                    }
                    answers.count { it.get(20, TimeUnit.SECONDS) == WHOLE } shouldBe STREAMS
                }
            }
        }

        describe("a stream whose only head is silent for good") {
            // Guards against a stream that is kept beyond its deadline.
            it("ends ten seconds after its latest token") {
                fixture {
                    head("h1") { open, sink ->
                        if (open.stream.attempt == 0) late(sink, silentMs = 30_000)
                    }
                    val startNs = System.nanoTime()
                    val answer = patientPost()
                    val elapsedMs = (System.nanoTime() - startNs) / 1_000_000
                    answer.content() shouldBe " t0"
                    elapsedMs shouldBeInRange 9_000L..12_000L
                }
            }

            // Guards against a stream that waits on a lost connection for a head that lives.
            it("is resumed there if the head answers others") {
                fixture {
                    head("h1") { open, sink ->
                        when {
                            "other" in open.promptTokens -> sink.tokens(0..0, 1)
                            open.stream.attempt == 0 -> late(sink, silentMs = 30_000)
                            else -> resume(open, sink)
                        }
                    }
                    val answer = CompletableFuture<String>()
                    thread { answer.complete(patientPost().content()) }
                    while (!answer.isDone) {
                        post(CHAT, BODY.replace("say it", "other"))
                        Thread.sleep(500)
                    }
                    answer.get() shouldBe WHOLE
                }
            }
        }
    })
