package org.jacinthlink.router.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldStartWith

/** The check of requests beside suspended servers reports what suspensions do not explain. */
class SuspendedChecksSpec :
    DescribeSpec({
        val stillLong = mapOf(ADDRESS to listOf(200L..DEADLINE_MS))
        val stillShort = mapOf(ADDRESS to listOf(200L..1_000L))

        describe("a stream that was cut at its deadline") {
            it("is explained by a server that stood still") {
                unexplainedEnds(listOf(cut), sentAndEnded("deadline"), stillLong, DEADLINE_MS)
                    .shouldBeEmpty()
            }
            it("is reported if its server ran for long enough") {
                unexplainedEnds(listOf(cut), sentAndEnded("deadline"), stillShort, DEADLINE_MS)
                    .single() shouldStartWith "cut although its servers ran"
            }
            it("is reported if it could have moved") {
                val lines = sentAndEnded("deadline").filter { "stays" !in it }
                unexplainedEnds(listOf(cut), lines, stillLong, DEADLINE_MS)
                    .single() shouldStartWith "cut although it could move"
            }
            it("is reported if another server stood still") {
                val others = mapOf(ADDRESS to emptyList(), "127.0.0.1:2" to stillLong[ADDRESS]!!)
                unexplainedEnds(listOf(cut), sentAndEnded("deadline"), others, DEADLINE_MS)
                    .shouldHaveSize(1)
            }
        }

        describe("a stream that was cut for another cause") {
            it("is reported though its server stood still") {
                unexplainedEnds(listOf(cut), sentAndEnded("\"no path\""), stillLong, DEADLINE_MS)
                    .single() shouldStartWith "cut before its deadline"
            }
        }

        describe("a request without any answer") {
            it("is reported as never read if no line of the log names it") {
                val unread = cut.copy(status = null, isUnanswered = true)
                unexplainedEnds(listOf(unread), emptyList(), stillLong, DEADLINE_MS)
                    .single() shouldStartWith "never read"
            }
            it("is reported though its server stood still") {
                val unanswered = cut.copy(status = null)
                unexplainedEnds(
                    listOf(unanswered),
                    sentAndEnded("deadline"),
                    stillLong,
                    DEADLINE_MS
                ).single() shouldStartWith "neither answered nor refused"
            }
        }
    })

private const val ADDRESS = "127.0.0.1:1"

private val cut = CallResult("1-1", CallKind.STREAM, 200, false, "seal", "1-1", "", false, 0)

private fun sentAndEnded(cause: String): List<String> =
    listOf(
        "event=sent request=1-1 path=a/$ADDRESS server=a1 left_ms=$DEADLINE_MS",
        "event=stays request=1-1 path=a/$ADDRESS obstacle=retry_budget silent_ms=300",
        "event=ended request=1-1 route=s status=0 cause=$cause events=5"
    )
