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
import org.jacinthlink.standins.referenceActivation
import org.jacinthlink.standins.referenceAnswer

private const val LAYERS = 12
private const val CRASH_WORD = "detonate"

/** Rounds until one crashes a stage in a shared step, which depends on how busy its engine is. */
private const val MOST_ROUNDS = 12

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

/** Two pipelines whose middle stage is the slowest, so that streams share its steps. */
private fun slowMiddles(crashWord: String): SitePlan {
    fun stage(zone: String, firstLayer: Int, stepMs: Double) =
        StagePlan(zone, firstLayer, firstLayer + 4, EngineSpeed(stepMs), 1_000 / stepMs)

    val zones = demoPlan().zones
    val stages = listOf(stage(zones[0], 0, 2.0), stage(zones[1], 4, 15.0), stage(zones[2], 8, 2.0))
    val pipelines = List(2) { PipelinePlan(DEMO_MODEL, stages, maxRunningStreams = 16) }
    return demoPlan()
        .copy(pipelines = pipelines, services = emptyList(), crashWord = crashWord)
}

/** Largest number of streams in a step in which the engine of the process crashed. */
private fun JvmProcess.largestCrashedStep(): Int =
    readLog().lines()
        .filter { "event=stage_fault " in it }
        .groupBy({ it.field("crash_id") }, { it.field("streams").toInt() })
        .filterKeys { it != "null" }
        .maxOf { it.value.sum() }

private fun String.field(name: String) = substringAfter(" $name=").substringBefore(' ')

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

/** Plays one round; returns the largest number of streams in a step that crashed an engine. */
private fun crashMiddleStages(): Int {
    val poison = Question("please stop", maxTokens = 5, workClass = "summary")
    val activation = referenceActivation(DEMO_MODEL, 4, poison.promptTokens)
    return ProcessSite(slowMiddles(activation)).start().use { fleet ->
        val bystanders = fleet.startBystanders(12)
        val first = fleet.sendAtOnce(poison, copies = 1)
        val codes = first + fleet.sendAtOnce(poison, copies = 4)
        val crashed = fleet.site.stages.filter { it.engine.crashes > 0 }
        withClue("crashes, codes $codes") {
            crashed.sumOf { it.engine.crashes } shouldBeLessThanOrEqual 2
        }
        crashed.map { it.holding.firstLayer }.toSet() shouldBe setOf(4)
        codes.toSet() shouldBe setOf(ResultCode.QUARANTINED)
        bystanders.shouldBeWhole()
        crashed.maxOf { fleet.process(it.name).largestCrashedStep() }
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
            // Guards against crashes behind the head that are not counted, or that are laid to the
            // streams of the same step. A stage with a free engine runs the content alone, so that
            // a round shows nothing of shared steps; the other promises hold in each round.
            it("crashes two middle stages at most, and streams of the same steps are answered") {
                val steps = generateSequence { crashMiddleStages() }.take(MOST_ROUNDS)
                withClue("no round crashed a stage in a step with several streams") {
                    steps.any { it > 1 } shouldBe true
                }
            }
        }
    })
