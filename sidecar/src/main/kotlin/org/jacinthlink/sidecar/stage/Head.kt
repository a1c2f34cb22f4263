package org.jacinthlink.sidecar.stage

import java.util.concurrent.Executor
import org.jacinthlink.api.HopBatch
import org.jacinthlink.api.HopStatus
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.routing.AdmissionDecision
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.applyQueueDiscipline
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PushSink

/**
 * Head of a pipeline: queues requests, starts them on a route, and feeds each sampled token as the
 * next position until the stream ends.
 *
 * Calls to the stage runner and to other processes happen outside of the lock.
 */
internal class Head(
    private val self: FlowStage,
    private val registry: HeadRegistry,
    private val routes: RouteBook,
    private val runner: StageRunner,
    private val releases: ReleaseOutbox,
    private val executor: Executor,
    private val clock: Clock,
    private val events: EventLog,
    private val limits: HeadLimits = HeadLimits()
) : StreamHead {
    private val lock = Any()

    /** Handles a stage of a stream that failed. Set once, before the first message. */
    @Volatile
    var onStageFailed: (StreamKey, StageFault) -> Unit = { _, _ -> }

    @Volatile
    private var draining = false

    @Volatile
    var ready: () -> Boolean = { true }

    /** Called after a stream was admitted or refused. */
    @Volatile
    var onOpened: () -> Unit = {}

    val openStreams: Int get() = synchronized(lock) { registry.queuedCount + registry.runningCount }

    fun load(): LoadReport = synchronized(lock) { registry.load(clock.nowMs()) }

    fun drain() {
        draining = true
    }

    fun routesChanged() = routes.invalidate()

    fun classesChanged(classes: Map<String, WorkClass>) =
        synchronized(lock) { registry.update(classes) }

    /** Takes a new stream; [sink] receives its events. */
    fun open(open: StreamOpen, sink: PushSink) {
        val nowMs = clock.nowMs()
        val request = applyQueueDiscipline(registry.policy, open.toQueuedRequest(nowMs))
        val stream = HeadStream(open, request, sink)
        events.record(
            "stream_opened",
            open.stream.requestId,
            "attempt" to open.stream.attempt,
            "class" to open.workClass,
            "resumed_tokens" to open.emittedTokens.size
        )
        sink.onDisconnect { executor.execute { end(open.stream, null, "entry_gone") } }
        // An entry opens the next attempt only after it gave up the earlier one.
        cancel(open.stream.requestId, below = open.stream.attempt)
        val refusal = synchronized(lock) { admit(stream, nowMs) }
        if (refusal != null) {
            events.record("stream_refused", open.stream.requestId, "code" to refusal.code)
            stream.send(refusal, nowMs)
            stream.close()
        }
        onOpened()
        startNext()
    }

    private fun admit(stream: HeadStream, nowMs: Long): StreamEvent.Refused? {
        val open = stream.open
        val fault = requestFault(open)
        if (fault != null) return fault
        if (open.emittedTokens.size >= open.maxTokens) {
            stream.send(StreamEvent.Accepted(registry.load(nowMs)), nowMs)
            stream.send(StreamEvent.End(REASON_LENGTH, open.emittedTokens.size), nowMs)
            stream.close()
            return null
        }
        return when (val decision = registry.offer(stream, nowMs)) {
            is AdmissionDecision.Refused ->
                refused(decision.code, decision.message, decision.retryAfterMs)
            AdmissionDecision.Admitted -> {
                stream.send(StreamEvent.Accepted(registry.load(nowMs)), nowMs)
                null
            }
        }
    }

    private fun requestFault(open: StreamOpen): StreamEvent.Refused? =
        when {
            open.model != self.holding.model ->
                refused(ResultCode.UNKNOWN_MODEL, "this stage holds ${self.holding.model}")
            open.promptTokens.isEmpty() ->
                refused(ResultCode.MALFORMED_REQUEST, "the prompt has no tokens")
            open.maxTokens < 1 ->
                refused(ResultCode.MALFORMED_REQUEST, "maxTokens: ${open.maxTokens} is below 1")
            draining -> refused(ResultCode.DRAINING, "this instance is draining")
            !ready() -> refused(ResultCode.NO_BACKEND_SERVER, "the backend server is not ready")
            registry.find(open.stream) != null ->
                StreamEvent.Refused(ResultCode.IN_PROGRESS, "the attempt is open already", false)
            else -> null
        }

    /** Cancels all attempts of [request], or those below attempt [below]. */
    fun cancel(request: RequestId, below: Int = Int.MAX_VALUE) {
        synchronized(lock) { registry.findAll(request).map { it.key } }
            .filter { it.attempt < below }
            .forEach { end(it, null, "cancelled") }
    }

    override fun onTokens(tokens: List<SampledToken>): List<StreamKey> =
        tokens.filterNot { onToken(it) }.map { it.stream }

    // Returns false if the stream does not run here. Prefill steps sample tokens at positions of
    // the prompt; these, and repeated tokens, are passed over.
    private fun onToken(token: SampledToken): Boolean {
        val nowMs = clock.nowMs()
        val isComplete =
            synchronized(lock) {
                val stream = registry.findRunning(token.stream) ?: return false
                if (token.epoch < stream.epoch || token.position != stream.nextPosition) return true
                registry.onToken(stream, token.text, nowMs)
                val index = stream.tokens.size - 1
                if (index == stream.open.emittedTokens.size) recordFirstToken(stream, nowMs)
                stream.send(StreamEvent.Token(index, token.text), nowMs)
                stream.tokens.size >= stream.open.maxTokens
            }
        if (isComplete) complete(token.stream) else feed(token.stream)
        return true
    }

    private fun recordFirstToken(stream: HeadStream, nowMs: Long) =
        events.record(
            "first_token_sampled",
            stream.key.requestId,
            "attempt" to stream.key.attempt,
            "elapsed_ms" to nowMs - stream.startedAtMs
        )

    private fun complete(key: StreamKey) {
        val count = synchronized(lock) { registry.findRunning(key)?.tokens?.size } ?: return
        end(key, StreamEvent.End(REASON_LENGTH, count), "complete")
    }

    /** Hands the latest input of a stream to the first stage. */
    fun feed(key: StreamKey) {
        repeat(MAX_FEEDS) {
            val item =
                synchronized(lock) { registry.findRunning(key)?.latest(self.address) } ?: return
            val answer = runner.receive(HopBatch(listOf(item))).items.single()
            when (answer.status) {
                HopStatus.ACCEPTED, HopStatus.DUPLICATE -> return
                // The route changed between the two calls; the next item carries the new epoch.
                HopStatus.STALE_EPOCH -> Unit
                HopStatus.GAP, HopStatus.WRONG_LAYERS -> {
                    end(key, notFed(item.firstPosition), "stage_not_ready")
                    return
                }
            }
        }
        fail(key, "the first stage refuses the stream")
    }

    override fun onFault(fault: StageFault) {
        for (key in fault.streams) {
            val isAffected = withRunning(key) { it.usesRecently(fault.stage, clock.nowMs()) }
            when {
                isAffected != true -> Unit
                fault.backendServerCrashed -> end(key, crashed(fault), "backend_server_crashed")
                fault.stage == self.instance -> end(key, failed(fault.message), "stage_failed")
                else -> onStageFailed(key, fault)
            }
        }
    }

    /** Ends a stream that no route can continue; its entry opens another attempt. */
    fun fail(key: StreamKey, message: String) = end(key, failed(message), "stage_failed")

    /** Runs [body] on a running stream; null if [key] does not run here. */
    fun <T> withRunning(key: StreamKey, body: (HeadStream) -> T): T? =
        synchronized(lock) { registry.findRunning(key)?.let(body) }

    /** Runs [body] on all running streams. */
    fun <T> withAllRunning(body: (List<HeadStream>) -> T): T =
        synchronized(lock) { body(registry.runningStreams) }

    /** Chooses another route without [failed]; null if there is none. */
    fun replaceFailed(stream: HeadStream): List<FlowStage>? =
        synchronized(lock) {
            routes.replaceFailed(stream.route, stream.failed, registry::countOn)
        }

    /** Sends heartbeats, refuses expired requests and starts waiting ones. */
    fun tick(nowMs: Long) {
        synchronized(lock) {
            registry.updateRates(routes.ownTokensPerSecond(), nowMs)
            registry.takeExpired(nowMs).forEach { stream ->
                stream.send(
                    refused(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed in the queue"),
                    nowMs
                )
                stream.close()
            }
            val heartbeat = StreamEvent.Heartbeat(registry.load(nowMs))
            registry.all
                .filter { isHeartbeatDue(it, nowMs) }
                .forEach { it.send(heartbeat, nowMs) }
        }
        startNext()
    }

    // A stream that gets tokens still carries the load, but less often.
    private fun isHeartbeatDue(stream: HeadStream, nowMs: Long): Boolean =
        nowMs - stream.lineSentAtMs >= limits.heartbeatMs ||
            nowMs - stream.loadSentAtMs >= LOAD_HEARTBEATS * limits.heartbeatMs

    private fun startNext() {
        while (true) {
            val stream =
                synchronized(lock) {
                    val nowMs = clock.nowMs()
                    registry.startNext(routes.ownTokensPerSecond(), nowMs)?.also { next ->
                        routes.next()?.let { next.takeRoute(it, nowMs) }
                    }
                } ?: return
            if (stream.route.isEmpty()) {
                val message = "no known stages hold all layers of ${self.holding.model}"
                end(stream.key, refused(ResultCode.NO_BACKEND_SERVER, message), "no_route")
            } else {
                recordStart(stream)
                feed(stream.key)
            }
        }
    }

    private fun recordStart(stream: HeadStream) =
        events.record(
            "stream_started",
            stream.key.requestId,
            "attempt" to stream.key.attempt,
            "waited_ms" to stream.startedAtMs - stream.request.enqueuedAtMs,
            "route" to stream.route.joinToString(",") { it.instance.value }
        )

    private fun end(key: StreamKey, event: StreamEvent?, reason: String) {
        val stream =
            synchronized(lock) {
                val found = registry.find(key) ?: return
                registry.remove(key)
                event?.let { found.send(it, clock.nowMs()) }
                found.close()
                found
            }
        events.record(
            "stream_ended",
            key.requestId,
            "attempt" to key.attempt,
            "reason" to reason,
            "tokens" to stream.tokens.size
        )
        runner.release(listOf(key))
        stream.visited
            .filterKeys { it != self.instance }
            .values
            .forEach { releases.add(it, key) }
        if (stream.visited.isNotEmpty()) executor.execute(::startNext)
    }

    private companion object {
        const val REASON_LENGTH = "length"
        const val MAX_FEEDS = 8
        const val LOAD_HEARTBEATS = 4
    }
}
