package org.jacinthlink.sidecar.stage

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.HopAck
import org.jacinthlink.api.HopBatch
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ReleaseStreams
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.RerouteAnswer
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StageProgress
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.api.SuspectReport
import org.jacinthlink.api.TokenBatch
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.jsonResponse

/** Endpoints of a model stage; [head] is present on the first stage only. */
internal fun stageRoutes(
    runner: StageRunner,
    head: Head?,
    onSuspects: (List<InstanceId>) -> Unit
): HttpHandler {
    val routes = StageRoutes(runner, head, onSuspects)
    return { request -> routes.handle(request) }
}

private class StageRoutes(
    private val runner: StageRunner,
    private val head: Head?,
    private val onSuspects: (List<InstanceId>) -> Unit
) {
    fun handle(request: Request): Response {
        val path = request.uri.path
        return try {
            when {
                path == StagePaths.LOAD && request.method == Method.GET -> answerLoad()
                request.method != Method.POST -> notFound(path)
                isCancel(path) -> cancel(path)
                else -> handlePost(path, request)
            }
        } catch (e: SerializationException) {
            errorResponse(ResultCode.MALFORMED_REQUEST, "malformed body: ${e.message}")
        }
    }

    private fun handlePost(path: String, request: Request): Response =
        when (path) {
            StagePaths.STREAMS -> openStream(request)
            StagePaths.HOPS ->
                answer(HopAck.serializer(), runner.receive(read(request, HopBatch.serializer())))
            StagePaths.TOKENS -> takeTokens(read(request, TokenBatch.serializer()))
            StagePaths.FAULTS -> takeFault(read(request, StageFault.serializer()))
            StagePaths.SUSPECTS -> takeSuspects(read(request, SuspectReport.serializer()))
            StagePaths.REROUTE -> reroute(read(request, Reroute.serializer()))
            StagePaths.RELEASE -> release(read(request, ReleaseStreams.serializer()))
            StagePaths.PROGRESS ->
                answer(
                    StageProgress.serializer(),
                    runner.progress(read(request, ReleaseStreams.serializer()).streams)
                )
            else -> notFound(path)
        }

    private fun openStream(request: Request): Response {
        val open = read(request, StreamOpen.serializer())
        val head = head ?: return notHead()
        return Response(Status.OK)
            .header("content-type", "application/x-ndjson")
            .body(PushBody { sink -> head.open(open, sink) })
    }

    private fun takeTokens(batch: TokenBatch): Response {
        val unknown = head?.onTokens(batch.items) ?: batch.items.map { it.stream }
        return answer(ReleaseStreams.serializer(), ReleaseStreams(unknown))
    }

    private fun takeFault(fault: StageFault): Response {
        head?.onFault(fault)
        return answer(ReleaseStreams.serializer(), ReleaseStreams(emptyList()))
    }

    private fun takeSuspects(report: SuspectReport): Response {
        onSuspects(report.instances)
        return answer(ReleaseStreams.serializer(), ReleaseStreams(emptyList()))
    }

    private fun reroute(order: Reroute): Response =
        answer(RerouteAnswer.serializer(), RerouteAnswer(runner.reroute(order)))

    private fun release(streams: ReleaseStreams): Response {
        runner.release(streams.streams)
        return answer(ReleaseStreams.serializer(), streams)
    }

    private fun answerLoad(): Response =
        head?.let { answer(LoadReport.serializer(), it.load()) } ?: notHead()

    private fun isCancel(path: String): Boolean =
        path.startsWith("${StagePaths.STREAMS}/") && path.endsWith(CANCEL)

    private fun cancel(path: String): Response {
        val id = path.removePrefix("${StagePaths.STREAMS}/").removeSuffix(CANCEL)
        head?.cancel(RequestId(id)) ?: return notHead()
        return jsonResponse(Status.OK, "{}")
    }

    private fun notHead() =
        errorResponse(ResultCode.NOT_FOUND, "this stage does not hold the first layers")

    private fun notFound(path: String) = errorResponse(ResultCode.NOT_FOUND, "no such path: $path")

    private fun <T> read(request: Request, serializer: KSerializer<T>): T =
        ProtocolJson.decodeBounded(serializer, request.bodyString())

    private fun <T> answer(serializer: KSerializer<T>, value: T): Response =
        jsonResponse(Status.OK, ProtocolJson.encodeToString(serializer, value))

    private companion object {
        const val CANCEL = "/cancel"
    }
}
