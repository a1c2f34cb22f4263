package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.routing.Admission
import org.jacinthlink.decision.routing.AdmissionDecision
import org.jacinthlink.decision.routing.FairQueue
import org.jacinthlink.decision.routing.RunningCounts

/** Queued and running streams of a head. Not safe for use by several threads. */
internal class HeadRegistry(
    private val queue: FairQueue,
    private val admission: Admission,
    private val rate: ServiceRate,
    val bound: RunningBound,
    val policy: SchedulingPolicy = SchedulingPolicy.Targets
) {
    private val queued = LinkedHashMap<StreamKey, HeadStream>()
    private val running = LinkedHashMap<StreamKey, HeadStream>()

    private val runningCounts = RunningCounts()

    val queuedCount: Int get() = queued.size
    val runningCount: Int get() = running.size
    val all: List<HeadStream> get() = queued.values + running.values
    val runningStreams: List<HeadStream> get() = running.values.toList()

    fun find(key: StreamKey): HeadStream? = running[key] ?: queued[key]

    fun findRunning(key: StreamKey): HeadStream? = running[key]

    fun findAll(request: RequestId): List<HeadStream> =
        all.filter { it.key.requestId == request }

    /** Streams in execution that use [stage]. */
    fun countOn(stage: InstanceId): Int =
        running.values.count { stream -> stream.route.any { it.instance == stage } }

    /** Puts [stream] into the queue, if admission allows it. */
    fun offer(stream: HeadStream, nowMs: Long): AdmissionDecision {
        val request = stream.request
        val firstTokenMs = rate.firstTokenMs(request.workClass, nowMs)
        val decision =
            admission.decide(queue, request, rate.tokensPerSecond, firstTokenMs, nowMs)
        if (decision == AdmissionDecision.Admitted) {
            queue.offer(request)
            queued[stream.key] = stream
        }
        return decision
    }

    /** Moves the next queued stream into execution, if another one may run. */
    fun startNext(tokensPerSecond: Double, nowMs: Long): HeadStream? {
        val slots = bound.streams(tokensPerSecond)
        val request =
            when {
                running.size < slots -> queue.poll(nowMs)
                running.size < MAX_OVERCOMMIT * slots ->
                    queue.pollBelowShare(nowMs, runningCounts, slots)
                else -> null
            } ?: return null
        val stream = queued.remove(request.id) ?: return null
        rate.onStarted(request.costTokens)
        bound.onStarted(request.costTokens)
        stream.startedAtMs = nowMs
        stream.progressAtMs = nowMs
        running[stream.key] = stream
        runningCounts.started(request)
        return stream
    }

    fun onToken(stream: HeadStream, text: String, nowMs: Long) {
        stream.addToken(text, nowMs)
        queue.charge(stream.request, 1)
        if (stream.tokens.size == stream.open.emittedTokens.size + 1) {
            rate.onFirstToken(stream.request.workClass, nowMs - stream.startedAtMs, nowMs)
        }
        bound.onToken()
    }

    fun remove(key: StreamKey): HeadStream? {
        if (queued.remove(key)?.also { queue.remove(key) } != null) return null
        return running.remove(key)?.also { runningCounts.ended(it.request) }
    }

    /** Removes and returns the queued streams whose deadline has passed. */
    fun takeExpired(nowMs: Long): List<HeadStream> =
        queue.takeExpired(nowMs).mapNotNull { queued.remove(it.id) }

    fun update(classes: Map<String, WorkClass>) {
        queue.update(classes)
        bound.update(classes)
    }

    fun updateRates(plannedTokensPerSecond: Double, nowMs: Long) {
        rate.update(queued.size, nowMs)
        bound.update(queued.size, plannedTokensPerSecond, nowMs)
    }

    fun load(nowMs: Long): LoadReport {
        val waitMs = queue.queuedTokens * 1_000.0 / rate.tokensPerSecond
        return LoadReport(queued.size, running.size, waitMs + rate.firstTokenMs(nowMs), nowMs)
    }

    private companion object {
        // The shares of all classes add up to the slots once more.
        const val MAX_OVERCOMMIT = 2
    }
}
