package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.site.SiteStage
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.entry.admin.ChangeAnswer
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.standins.KeyValueFaults
import org.jacinthlink.standins.Outage
import org.jacinthlink.standins.PlainServiceFaults

// An accepted change is to be in force everywhere within this time at today's size.
private const val IN_FORCE_MS = 5_000L

class DoubleFaultSpec :
    DescribeSpec({
        val fleet = ProcessSite(demoPlan().copy(isProxied = true)).start()
        val proxy = fleet.site.proxy!!
        afterSpec { fleet.close() }

        fun routeOf(answer: StreamedAnswer): List<SiteStage> =
            fleet.site.stages
                .filter { it.engine.executions(answer.requestId).executions.isNotEmpty() }
                .sortedBy { it.holding.firstLayer }

        fun kill(vararg names: String) {
            names.map { name -> CompletableFuture.runAsync { fleet.process(name).kill() } }
                .forEach { it.join() }
        }

        fun running(text: String, entry: Int = 0): Pair<Question, StreamedAnswer> {
            val question = Question(text, maxTokens = 200)
            return question to fleet.caller(entry).stream(question).apply { awaitTokens(20) }
        }

        fun shouldBeWhole(stream: Pair<Question, StreamedAnswer>) =
            faultOf(stream.first, stream.second.await()) shouldBe null

        describe("two failures at a time") {
            beforeEach { fleet.awaitWhole() }

            // Guards against a failover that needs the key-value service.
            it("a stage killed while the key-value service is down") {
                fleet.site.keyValue.setFaults(KeyValueFaults(outage = Outage.SILENT))
                val stream = running("outage and kill")
                val killed = routeOf(stream.second)[1].name
                kill(killed)
                shouldBeWhole(stream)
                fleet.site.keyValue.setFaults(KeyValueFaults())
                fleet.startAgain(listOf(killed))
            }
            // Guards against a failover that waits for good on a stage that does not answer.
            it("a stage killed while the connections of another are silent") {
                val stream = running("silence and kill")
                val route = routeOf(stream.second).map { it.name }
                proxy.silenceExisting(route[2])
                kill(route[1])
                shouldBeWhole(stream)
                fleet.startAgain(listOf(route[1]))
            }
            // Guards against streams of other entries that end with a head, and against state of
            // a dead caller that keeps the request from being served again.
            it("a head and an entry killed together") {
                val others = (0 until 4).map { running("of the other entry $it", entry = 1) }
                val cut = running("cut with its entry", entry = 0)
                val head = routeOf(cut.second)[0].name
                kill(head, "entry-0")
                cut.second.await().isDone shouldBe false
                others.forEach(::shouldBeWhole)
                shouldBeWhole(cut.first to fleet.caller(1).stream(cut.first))
                fleet.startAgain(listOf(head, "entry-0"))
            }
            // Guards against a change that waits for a frozen process, or never reaches it.
            it("a stage frozen while the configuration changes") {
                val stream = running("freeze and change")
                val frozen = fleet.process(routeOf(stream.second)[1].name)
                frozen.freeze()
                val changed = fleet.putClass(
                    fleet.entryAddress(1),
                    WorkClass("late", 900, worth = 1)
                )
                shouldBeWhole(stream)
                frozen.thaw()
                val body = changed.shouldBeInstanceOf<PeerResult.Answered>().body
                val change = ProtocolJson.decodeFromString(ChangeAnswer.serializer(), body)
                change.missing.map { it.value.substringBefore('~') } shouldContain frozen.name
                eventually("the change is in force on the thawed stage", IN_FORCE_MS) {
                    fleet.metric(frozen.name, "jacinthlink_configuration_revision") >=
                        change.revision
                }
            }
            // Guards against a second run by the sidecar that is left, whose own write for the key
            // takes effect without an answer.
            it("a service's sidecar killed in a call while the answer to the next write is lost") {
                val services = fleet.site.services
                services.forEach { it.service.setFaults(PlainServiceFaults(latencyMs = 1_500)) }
                val first = CompletableFuture.supplyAsync { fleet.book("claim", 0) }
                eventually("the booking has run", 20_000) { fleet.bookings("claim") == 1 }
                fleet.site.keyValue.setFaults(KeyValueFaults(loseAnswers = 1))
                val owner = services.first {
                    fleet.metric(it.name, "jacinthlink_open_work") > 0
                }.name
                kill(owner)
                val answers = listOf(first.get(30, TimeUnit.SECONDS), fleet.book("claim", 1))
                services.forEach { it.service.setFaults(PlainServiceFaults()) }
                fleet.site.keyValue.setFaults(KeyValueFaults())
                fleet.startAgain(listOf(owner))
                val runs = fleet.bookings("claim")
                withClue("$answers, ran $runs times") {
                    runs shouldBe 1
                    answers.mapNotNull { it.errorDetail()?.notRun } shouldNotContain true
                }
            }
        }
    })

private fun ProcessSite.book(reference: String, entry: Int) =
    caller(entry).plain(
        "POST",
        "/order-desk/bookings",
        """{"reference":"$reference"}""",
        "key-$reference",
        "question"
    )
