package org.jacinthlink.cli.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSortedBy
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.concurrent.thread
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ErrorBody
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.errorBody
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.startHttpServer
import org.jacinthlink.standins.referenceAnswer

class LoadRunSpec :
    DescribeSpec({
        val entry = startHttpServer("127.0.0.1", 0, ServerLimits(), ::fakeEntry)
        val plan =
            readLoadPlan(PLAN.replace("PORT", entry.port.toString()))
                .shouldBeInstanceOf<Success<LoadPlan>>()
                .value
        afterSpec { entry.stop() }

        describe("a run against an entry") {
            val report = runLoad(plan)

            it("counts right and wrong whole answers apart") {
                val good = report.classes.getValue("good")
                listOf(good.sent, good.answered, good.wrong, good.withinTarget) shouldBe
                    listOf(10, 10, 0, 10)
                val crossed = report.classes.getValue("crossed")
                listOf(crossed.answered, crossed.wrong, crossed.withinTarget) shouldBe
                    listOf(10, 10, 0)
            }
            it("counts a stream that breaks off or is refused midway as failed") {
                val broken = report.classes.getValue("broken")
                listOf(broken.answered, broken.failed) shouldBe listOf(0, 10)
                report.classes.getValue("midway").failed shouldBe 10
            }
            it("tells refusals, unknown outcomes and lost plain calls apart") {
                report.classes.getValue("refused").refusedNotRun shouldBe 10
                report.classes.getValue("unknown").unknown shouldBe 10
                report.classes.getValue("silent").unknown shouldBe 10
                report.classes.getValue("booked").answered shouldBe 10
            }
            it("measures the first token, the gaps and the whole answer from the send time") {
                val good = report.classes.getValue("good")
                good.timeToFirstTokenMs.p50 shouldBeGreaterThan 29.0
                // Tokens leave 20 ms apart; the arrival of the earlier one may be late.
                good.tokenGapMs.p50 shouldBeGreaterThan 10.0
                good.tokenGapMs.count shouldBe 20
                good.wholeAnswerMs.p50 shouldBeGreaterThan good.timeToFirstTokenMs.p50
                good.timeToFirstTokenMs.p50 shouldBeLessThan 2_000.0
            }
            it("groups by workspace and writes a readable JSON and SVG") {
                report.workspaces.getValue("w1").sent shouldBe 80
                report.series.getValue("good").sumOf { it.goodput } shouldBe 10
                loadReportJson(report) shouldContain "withinTargetShare"
                val svg = loadReportSvg(report)
                val document =
                    DocumentBuilderFactory.newInstance().newDocumentBuilder()
                        .parse(svg.byteInputStream())
                document.getElementsByTagName("polyline").length shouldBe 16
            }
        }

        describe("a run against a closed port") {
            it("counts requests as not sent") {
                val port = ServerSocket(0).use { it.localPort }
                val closed = plan.copy(entries = listOf("http://127.0.0.1:$port"))
                runLoad(closed).workspaces.getValue("w1").notSent shouldBe 80
            }
        }

        describe("a run whose answers are those to other requests") {
            // Guards against a report that counts an answer to another request as a success.
            it("counts none of them as answered") {
                ServerSocket(0).use { server ->
                    thread(isDaemon = true) { answerOthers(server) }
                    val other = plan.copy(entries = listOf("http://127.0.0.1:${server.localPort}"))
                    val figures = runLoad(other).workspaces.getValue("w1")
                    listOf(figures.sent, figures.answered, figures.failed, figures.unknown) shouldBe
                        listOf(80, 0, 50, 30)
                }
            }
        }

        describe("a schedule") {
            it("keeps the rate and is the same for the same seed") {
                val stream = LoadStream("s", "w", "c", 200.0, 50.0, startSecond = 10.0, model = "m")
                Arrivals.entries.forEach { arrivals ->
                    val random = LoadPlan(emptyList(), emptyMap(), listOf(stream), arrivals)
                    val requests = schedule(random)
                    requests shouldBe schedule(random)
                    requests.shouldBeSortedBy { it.sendAtUs }
                    requests.size.toDouble() shouldBeGreaterThan 7_600.0
                    requests.size.toDouble() shouldBeLessThan 8_400.0
                    (requests.first().sendAtUs >= 10_000_000) shouldBe true
                }
            }
        }

        describe("a plan with faults") {
            it("is refused with the path of each") {
                val yaml = PLAN.replace("class: good", "class: other").replace("PORT", "1")
                readLoadPlan(yaml).shouldBeInstanceOf<Failure>().message shouldContain
                    "streams[0].class"
                readLoadPlan("entries: 3").shouldBeInstanceOf<Failure>().message shouldContain
                    "entries"
            }
        }
    })

private val CLASSES =
    listOf("good", "crossed", "broken", "midway", "refused", "unknown", "silent", "booked")
private val SERVICE_CLASSES = setOf("unknown", "silent", "booked")

private val PLAN =
    "entries: ['http://127.0.0.1:PORT']\ncallTimeoutMs: 3000\ntargetsMs:\n" +
        CLASSES.joinToString("") { "  $it: 3000\n" } + "streams:\n" +
        CLASSES.joinToString("") {
            val work =
                if (it in
                    SERVICE_CLASSES
                ) {
                    "service: desk, path: bookings"
                } else {
                    "model: m, maxTokens: 3"
                }
            "  - {name: $it, workspace: w1, class: $it, ratePerSecond: 20, stopSecond: 0.5, " +
                "$work, promptTokens: 4, verifyLayerCount: 2}\n"
        }

/** Answers each connection to [server] with the whole answer to another call. */
private fun answerOthers(server: ServerSocket) {
    val answer =
        "HTTP/1.1 200 OK\r\n${Headers.CALL_ID}: other\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
    while (!server.isClosed) {
        val socket = runCatching { server.accept() }.getOrNull() ?: return
        thread(isDaemon = true) {
            socket.getInputStream().read()
            socket.getOutputStream().write(answer.toByteArray())
        }
    }
}

private fun fakeEntry(request: Request): Response {
    val workClass = request.header(Headers.WORK_CLASS).orEmpty()
    return when (workClass) {
        "refused" -> errorResponse(ResultCode.OVERLOADED, "full")
        "unknown" -> errorResponse(ResultCode.OUTCOME_UNKNOWN, "lost")
        "silent" -> Response(Status.OK).body(PushBody { })
        "booked" -> Response(Status.CREATED).body(request.header(Headers.IDEMPOTENCY_KEY).orEmpty())
        else -> Response(Status.OK).body(
            PushBody { sink ->
                stream(request, workClass, sink::send) { sink.close() }
            }
        )
    }
}

private fun stream(
    request: Request,
    workClass: String,
    send: (String) -> Boolean,
    close: () -> Unit
) {
    val content = Regex("\"content\":\"([^\"]*)\"").find(request.bodyString())!!.groupValues[1]
    val prompt = listOf("user:") + content.split(" ")
    val tokens = referenceAnswer(if (workClass == "crossed") "other" else "m", 2, prompt, 3)
    thread {
        tokens.take(if (workClass == "broken") 1 else 3).forEachIndexed { index, token ->
            Thread.sleep(if (index == 0) 30 else 20)
            send("data: {\"choices\":[{\"delta\":{\"content\":\"$token\"}}]}\n\n")
        }
        val failure = errorBody(ResultCode.STREAM_FAILED, "stage lost")
        when (workClass) {
            "broken" -> Unit
            "midway" ->
                send("data: ${ProtocolJson.encodeToString(ErrorBody.serializer(), failure)}\n\n")
            else -> send("data: [DONE]\n\n")
        }
        close()
    }
}
