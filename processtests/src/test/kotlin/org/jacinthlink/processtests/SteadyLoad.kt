package org.jacinthlink.processtests

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.jacinthlink.cli.site.DEMO_MODEL
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.referenceAnswer

private const val LAYERS = 12

/** Answer of the model of the demo to [question]. */
fun expectedAnswer(question: Question): List<String> =
    referenceAnswer(DEMO_MODEL, LAYERS, question.promptTokens, question.maxTokens)

/** What went wrong with [answer] to [question]; null if it is whole and right. */
fun faultOf(question: Question, answer: StreamedAnswer): String? =
    when {
        answer.isDone && answer.tokens.toList() == expectedAnswer(question) -> null
        else -> "${question.text}: ${answer.tokens.size} tokens, ${answer.error}"
    }

/**
 * Callers that send streams, whole chat answers and bookings one after another until [stop].
 *
 * [callerOf] gives the caller of each request. Its class leaves time for a slow machine.
 */
class SteadyLoad(
    private val fleet: ProcessSite,
    private val workClass: String = "question",
    private val callerOf: (String) -> Caller
) {
    /** Requests that were refused, cut or answered wrong. */
    val faults = ConcurrentLinkedQueue<String>()

    /** References of all bookings that were sent. */
    val bookings = ConcurrentLinkedQueue<String>()

    private val ended = AtomicInteger()

    @Volatile private var isRunning = true

    private val workers =
        listOf(::stream, ::stream, ::stream, ::stream, ::whole, ::whole, ::book, ::book)
            .mapIndexed { index, send -> thread { repeatedly(index, send) } }

    /** Waits until [count] more requests have ended. */
    fun awaitMore(count: Int) {
        val target = ended.get() + count
        eventually("$count more requests have ended", 30_000) { ended.get() >= target }
    }

    /** Lets present requests end; returns their number. */
    fun stop(): Int {
        isRunning = false
        workers.forEach { it.join(60_000) }
        return ended.get()
    }

    /** Bookings that did not run exactly once, with their runs. */
    fun runsOtherThanOne(): Map<String, Int> =
        bookings.associateWith { fleet.bookings(it) }.filterValues { it != 1 }

    private fun repeatedly(worker: Int, send: (String) -> String?) {
        var count = 0
        while (isRunning) {
            val fault =
                try {
                    send("load-$worker-${count++}")
                } catch (e: TimeoutException) {
                    "load-$worker-$count: no end: $e"
                }
            fault?.let { faults += it }
            ended.incrementAndGet()
        }
    }

    private fun stream(name: String): String? {
        val question = Question(name, maxTokens = 30, workClass = workClass)
        return faultOf(question, callerOf(name).stream(question).await())
    }

    private fun whole(name: String): String? {
        val question = Question(name, maxTokens = 15, workClass = workClass)
        val answer = callerOf(name).chat(question)
        val isRight =
            answer is PeerResult.Answered &&
                answer.isSuccess &&
                expectedAnswer(question).joinToString("") in answer.body
        return if (isRight) null else "$name: $answer"
    }

    private fun book(name: String): String? {
        bookings += name
        val body = """{"reference":"$name"}"""
        val answer =
            callerOf(name).plain("POST", "/order-desk/bookings", body, "key-$name", workClass)
        TimeUnit.MILLISECONDS.sleep(BOOKING_PAUSE_MS)
        return if (answer is PeerResult.Answered && answer.isSuccess) null else "$name: $answer"
    }

    private companion object {
        const val BOOKING_PAUSE_MS = 50L
    }
}
