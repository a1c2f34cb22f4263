package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.HopItem
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.QueuedRequest
import org.jacinthlink.runtime.http.PushSink

/** One stream at its head, from its admission to its end. Guarded by its [Head]. */
internal class HeadStream(
    val open: StreamOpen,
    val request: QueuedRequest,
    private val sink: PushSink
) {
    val key: StreamKey get() = open.stream
    val tokens = open.emittedTokens.toMutableList()
    var route: List<FlowStage> = emptyList()
        private set
    var epoch = 0
        private set

    /** Addresses of all stages that may hold state of this stream. */
    val visited = LinkedHashMap<InstanceId, String>()
    private val leftAtMs = HashMap<InstanceId, Long>()
    val failed = HashSet<InstanceId>()

    /** Those of [failed] that have lost this stream for certain; the others may be merely late. */
    val lost = HashSet<InstanceId>()
    private var lateSinceMs: Long? = null
    var isFailingOver = false
    var startedAtMs = 0L

    /** Time of the latest token, or of the latest change of the route. */
    var progressAtMs = 0L
    var lineSentAtMs = 0L
        private set
    var loadSentAtMs = 0L
        private set
    var probes = 0

    /** Smoothed time between two tokens; 0 before the second token. */
    var gapMs = 0.0
        private set

    /** Position of the next token that is sampled. */
    val nextPosition: Int get() = open.promptTokens.size + tokens.size

    fun takeRoute(newRoute: List<FlowStage>, nowMs: Long) {
        val kept = newRoute.map { it.instance }.toSet()
        route.map { it.instance }.filter { it !in kept }.forEach { leftAtMs[it] = nowMs }
        route = newRoute
        epoch++
        newRoute.forEach { visited[it.instance] = it.address }
    }

    /** True if [stage] is part of the route, or was until a moment ago. */
    fun usesRecently(stage: InstanceId, nowMs: Long): Boolean =
        route.any { it.instance == stage } ||
            leftAtMs[stage]?.let { nowMs - it <= RECENT_MS } ?: false

    fun addToken(text: String, nowMs: Long) {
        if (tokens.size > open.emittedTokens.size) {
            val gap = (nowMs - progressAtMs).toDouble()
            gapMs = if (gapMs == 0.0) gap else gapMs + GAP_WEIGHT * (gap - gapMs)
        }
        tokens += text
        progressAtMs = nowMs
        probes = 0
        lateSinceMs = null
    }

    /** Trusts stages that are merely late again; returns false if that has lasted too long. */
    fun keepLate(nowMs: Long): Boolean {
        val sinceMs = lateSinceMs ?: nowMs
        lateSinceMs = sinceMs
        failed.retainAll(lost)
        return nowMs - sinceMs < MAX_LATE_MS
    }

    fun send(event: StreamEvent, nowMs: Long): Boolean {
        lineSentAtMs = nowMs
        if (event !is StreamEvent.Token) loadSentAtMs = nowMs
        return sink.send(ProtocolJson.encodeToString(StreamEvent.serializer(), event) + "\n")
    }

    fun close() = sink.close()

    /** The prompt and the tokens of earlier attempts, as input of the first stage. */
    fun prefill(headAddress: String): HopItem =
        item(headAddress, 0, open.promptTokens + open.emittedTokens)

    /** The latest token, as input of the first stage. */
    fun latest(headAddress: String): HopItem =
        if (tokens.size == open.emittedTokens.size) {
            prefill(headAddress)
        } else {
            item(headAddress, nextPosition - 1, listOf(tokens.last()))
        }

    private fun item(headAddress: String, firstPosition: Int, payloads: List<String>) =
        HopItem(
            stream = key,
            epoch = epoch,
            firstPosition = firstPosition,
            payloads = payloads,
            route = route.map { it.toRouteStage() },
            headAddress = headAddress,
            isolated = open.isolated,
            workClass = open.workClass,
            workspace = open.workspace,
            stageCount = route.size
        )

    private companion object {
        const val GAP_WEIGHT = 0.2

        // An entry gives a stream up ten seconds after its latest token.
        const val MAX_LATE_MS = 5_000L

        // A crash breaks the connection at once, and its report may come after that of the stage
        // before. A frozen engine is reported broken much later, and says nothing about a stream
        // that runs elsewhere by then.
        const val RECENT_MS = 2_000L
    }
}

/** This stage as messages name it. */
internal fun FlowStage.toRouteStage(): RouteStage =
    RouteStage(instance, address, holding.firstLayer, holding.endLayer)

/** The stream as an entry of a queue that it joins at [nowMs]. */
internal fun StreamOpen.toQueuedRequest(nowMs: Long): QueuedRequest {
    val isResumed = emittedTokens.isNotEmpty()
    val waitMs = if (isResumed) maxOf(remainingMs, RESUMED_WAIT_MS) else remainingMs
    return QueuedRequest(
        id = stream,
        workspace = workspace,
        workClass = workClass,
        costTokens = promptTokens.size + emittedTokens.size,
        enqueuedAtMs = nowMs,
        deadlineAtMs = nowMs + waitMs,
        resumed = isResumed
    )
}

// The target of a resumed stream is met or missed already; it still has to be served.
private const val RESUMED_WAIT_MS = 10_000L
