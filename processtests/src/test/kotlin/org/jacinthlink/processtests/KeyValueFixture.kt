package org.jacinthlink.processtests

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import org.jacinthlink.runtime.http.PeerResult

/** A site whose key-value service is to fail, with callers that send bookings at once. */
class KeyValueFixture(callerCount: Int) : AutoCloseable {
    val fleet = ProcessSite().start()
    val keyValue = fleet.site.keyValue
    private val callers = Executors.newFixedThreadPool(callerCount)

    fun book(
        reference: String,
        entry: Int = 1,
        workClass: String = "question"
    ): Future<PeerResult> {
        val body = """{"reference":"$reference"}"""
        val send = {
            val key = "key-$reference"
            fleet.caller(entry).plain("POST", "/order-desk/bookings", body, key, workClass, 25_000)
        }
        return callers.submit(Callable(send))
    }

    /** Checks that all bookings [names] ran [count] times. */
    fun checkRuns(names: Collection<String>, count: Int) =
        names.filter { fleet.bookings(it) != count }.shouldBeEmpty()

    /** Checks a look-up, whose class allows 750 ms, and a chat. */
    fun checkOthers(name: String) {
        isOfService(fleet.caller(1).plain("GET", "/order-desk/bookings/1")) shouldBe true
        val question = Question(name, workClass = "question")
        faultOf(question, fleet.caller().stream(question).await()) shouldBe null
    }

    /** Calls on the key-value service by kind during [action]. */
    fun callsDuring(action: () -> Unit): Map<String, Long> {
        val before = keyValue.status.calls
        action()
        return keyValue.status.calls.mapValues { (kind, count) -> count - (before[kind] ?: 0) }
            .also { println("calls on the key-value service: $it") }
    }

    /** Budget of all processes without work in [ms], see the page on capacity. */
    fun idleCalls(ms: Long): Long = fleet.launcher.processes.size * 2 * ms / 1_000

    override fun close() {
        callers.shutdownNow()
        fleet.close()
    }

    companion object {
        const val BUCKETS = 16
    }
}
