package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.ResultCode
import org.jacinthlink.cli.site.DEMO_MODEL
import org.jacinthlink.cli.site.PipelinePlan
import org.jacinthlink.cli.site.SitePlan
import org.jacinthlink.cli.site.StagePlan
import org.jacinthlink.cli.site.demoPlan
import org.jacinthlink.standins.EngineSpeed
import org.jacinthlink.standins.referenceAnswer

private const val LAYERS = 12
private const val CRASH_WORD = "detonate"

/** Three pipelines of two stages, so that copies of one content can run at three heads at once. */
private fun threePipelines(): SitePlan {
    val zones = demoPlan().zones
    val pipelines =
        zones.map { zone ->
            PipelinePlan(
                DEMO_MODEL,
                listOf(
                    StagePlan(zone, 0, 6, EngineSpeed(stepMs = 3.0), 1_000.0),
                    StagePlan(zone, 6, LAYERS, EngineSpeed(stepMs = 3.0), 1_000.0)
                )
            )
        }
    return demoPlan().copy(pipelines = pipelines, services = emptyList(), crashWord = CRASH_WORD)
}

private fun ProcessSite.startBystanders(count: Int): List<Pair<Question, StreamedAnswer>> =
    List(count) { Question("harmless $it", maxTokens = 80, workClass = "summary") }
        .mapIndexed { index, question -> question to caller(index % 2).stream(question) }
        .onEach { it.second.awaitTokens(5) }

private fun ProcessSite.sendAtOnce(question: Question, copies: Int): List<ResultCode?> =
    List(copies) { index ->
        CompletableFuture.supplyAsync({ caller(index % 2).chat(question).resultCode() }) { task ->
            Thread(task).start()
        }
    }.map { it.get(30, TimeUnit.SECONDS) }

private fun List<Pair<Question, StreamedAnswer>>.shouldBeWhole() =
    forEach { (question, answer) ->
        answer.await()
        withClue(answer.error) {
            answer.tokens.toList() shouldContainExactly
                referenceAnswer(DEMO_MODEL, LAYERS, question.promptTokens, question.maxTokens)
        }
    }

class PoisonSpec :
    DescribeSpec({
        describe("a request that crashes backend servers, over processes") {
            // Guards against copies that crash a backend server each before any crash is known.
            it("crashes two at most when nine copies arrive at once through two entries") {
                ProcessSite(threePipelines()).start().use { fleet ->
                    val bystanders = fleet.startBystanders(6)
                    val poison =
                        Question("please $CRASH_WORD", maxTokens = 5, workClass = "summary")
                    val codes = fleet.sendAtOnce(poison, copies = 9)
                    val crashes = fleet.site.stages.sumOf { it.engine.crashes }
                    withClue("crashes, codes $codes") { crashes shouldBeLessThanOrEqual 2 }
                    codes.toSet() shouldBe setOf(ResultCode.QUARANTINED)
                    bystanders.shouldBeWhole()
                }
            }
        }
    })
