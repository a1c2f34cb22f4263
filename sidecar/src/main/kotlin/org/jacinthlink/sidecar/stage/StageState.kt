package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.HopAckItem
import org.jacinthlink.api.HopItem
import org.jacinthlink.api.HopStatus
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.RerouteStatus
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.StreamProgress
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.stage.CursorDecision
import org.jacinthlink.decision.stage.StageCursor
import org.jacinthlink.decision.stage.decideItem

/**
 * Streams of one stage: what was received, ran and was sent on, by position.
 *
 * Does no I/O. Not safe for use by several threads.
 */
internal class StageState(
    private val self: RouteStage,
    private val limits: StageLimits,
    positionsWithin: (Double) -> Int = { limits.maxStepPositions }
) {
    private val streams = LinkedHashMap<StreamKey, StageStream>()
    private val refused = RefusedStreams(REFUSED_CAPACITY)
    private val freed = ArrayList<StreamKey>()
    private val steps = ArrayList<Set<StreamKey>>()
    private val step = StageStep(limits, positionsWithin)
    private var flights = 0L
    private var retainedBytes = 0L

    val streamCount: Int get() = streams.size

    /** Takes one item from the stage before and says what became of it. */
    fun receive(item: HopItem, nowMs: Long): HopAckItem {
        val stream = streams[item.stream]
        return when {
            refused.isRefused(item.stream, item.epoch) ->
                acknowledge(item, HopStatus.STALE_EPOCH, 0)
            !item.isFor(self) -> acknowledge(item, HopStatus.WRONG_LAYERS, 0)
            stream != null -> receive(stream, item, nowMs)
            item.firstPosition > 0 -> acknowledge(item, HopStatus.GAP, 0)
            else -> receive(StageStream(item).also { streams[it.key] = it }, item, nowMs)
        }
    }

    private fun receive(stream: StageStream, item: HopItem, nowMs: Long): HopAckItem {
        val cursor = StageCursor(stream.epoch, stream.received)
        val decision = decideItem(cursor, item.epoch, item.firstPosition, item.payloads.size)
        if (decision.cursor.epoch > stream.epoch) stream.adopt(item.epoch, item.route)
        val status =
            when (decision) {
                is CursorDecision.StaleEpoch -> HopStatus.STALE_EPOCH
                is CursorDecision.Gap -> HopStatus.GAP
                is CursorDecision.Duplicate -> {
                    stream.repeatNewest()
                    HopStatus.DUPLICATE
                }
                is CursorDecision.Accept -> {
                    stream.accept(item, decision.skipCount, nowMs)
                    HopStatus.ACCEPTED
                }
            }
        return acknowledge(item, status, stream.received)
    }

    fun update(classes: Map<String, WorkClass>) = step.update(classes)

    /** Inputs of the next step; empty if there is none. [endStep] ends it. */
    fun nextStep(): List<EngineInput> {
        if (steps.size >= limits.engineSteps) return emptyList()
        val waiting = streams.values.filter { it.canStep }
        val inProgress = steps.flatMap { it }.mapNotNull { streams[it] }
        val selected = step.select(waiting, inProgress, streams.size)
        if (selected.isNotEmpty()) steps += selected.map { it.stream }.toSet()
        // A stream that ran goes to the end, so that each prompt gets its turn.
        selected.forEach { input ->
            streams[input.stream] = streams.remove(input.stream)!!
        }
        return selected
    }

    /** Ends the step of [inputs], whatever became of it. */
    fun endStep(inputs: List<EngineInput>) {
        val ended = inputs.map { it.stream }.toSet()
        steps.remove(ended)
    }

    /** Records the outputs of a step in progress. */
    fun completeStep(outputs: List<EngineOutput>, nowMs: Long) {
        for (output in outputs) {
            val stream = streams[output.stream]
            if (stream != null && stream.stepping > 0 && stream.ran == output.firstPosition) {
                completeStep(stream, output, nowMs)
            }
        }
    }

    private fun completeStep(stream: StageStream, output: EngineOutput, nowMs: Long) {
        val before = stream.outputs.sizeBytes
        stream.completeStep(output.payloads, output.nextToken, nowMs)
        retainedBytes += stream.outputs.sizeBytes - before
        if (retainedBytes > limits.maxRetainedBytes) stream.retentionDropped = true
        if (stream.retentionDropped) trim(stream)
    }

    /**
     * Frees all streams after the engine lost them.
     *
     * @param stepped Streams of the step that broke.
     * @param crashId Identifies the crash; empty if the engine did not crash in the step.
     */
    fun loseAll(stepped: Set<StreamKey>, crashId: String, message: String): List<StageNotice> {
        val lost = streams.values.toList()
        lost.forEach { remove(it.key) }
        return lost
            .groupBy { it.headAddress to (if (it.key in stepped) crashId else "") }
            .map { (group, members) ->
                StageNotice(
                    group.first,
                    members.map { it.key },
                    self.instance,
                    message,
                    group.second
                )
            }
    }

    /** Frees one stream that the engine refuses. */
    fun lose(stream: StreamKey, message: String): StageNotice? =
        remove(stream)?.let {
            StageNotice(it.headAddress, listOf(stream), self.instance, message)
        }

    /** Next stages for which outputs wait. */
    fun readyStages(): List<RouteStage> =
        streams.values.filter { it.canSend }.mapNotNull { it.next }.distinctBy { it.instance }

    /** Takes the items of the next message to [stage]. */
    fun takeHops(stage: InstanceId): StageFlight {
        val number = ++flights
        val items = ArrayList<HopItem>()
        var bytes = 0
        for (stream in streams.values.filter { it.canSend && it.next?.instance == stage }) {
            if (bytes >= limits.maxMessageBytes) break
            val item = stream.nextHop(limits.maxMessageBytes - bytes)
            bytes += item.payloads.sumOf { it.length }
            stream.flight = number
            stream.highestSent =
                maxOf(stream.highestSent, item.firstPosition + item.payloads.size)
            items += item
        }
        return StageFlight(number, items)
    }

    /** Records the answer to [flight]. The returned faults go to the heads. */
    fun acknowledged(flight: StageFlight, answers: List<HopAckItem>): List<StageNotice> {
        val byStream = answers.associateBy { it.stream }
        return flight.items.mapNotNull { item ->
            val stream = streams[item.stream]?.takeIf { it.flight == flight.number }
            val answer = byStream[item.stream]
            if (stream == null) {
                null
            } else {
                stream.flight = 0
                answer?.let { applyAnswer(stream, item, it) }
            }
        }
    }

    private fun applyAnswer(
        stream: StageStream,
        item: HopItem,
        answer: HopAckItem
    ): StageNotice? {
        val sentEnd = item.firstPosition + item.payloads.size
        when (answer.status) {
            HopStatus.ACCEPTED, HopStatus.DUPLICATE ->
                stream.sendFrom = maxOf(sentEnd, minOf(answer.expectedPosition, stream.ran))
            HopStatus.GAP -> stream.sendFrom = answer.expectedPosition
            // The route has changed. This stage may still be part of it, so its state is kept until
            // a message of the newer epoch arrives or the stream is idle for long.
            HopStatus.STALE_EPOCH -> if (stream.epoch == item.epoch) stream.suspended = true
            HopStatus.WRONG_LAYERS ->
                return suspend(stream, "the next stage holds other layers")
        }
        if (stream.retentionDropped) trim(stream)
        if (stream.sendFrom >= stream.outputs.firstPosition) return null
        return lose(stream.key, "outputs from position ${stream.sendFrom} are not retained")
    }

    private fun suspend(stream: StageStream, message: String): StageNotice {
        stream.suspended = true
        val failed = stream.next?.instance ?: self.instance
        return StageNotice(stream.headAddress, listOf(stream.key), failed, message)
    }

    /** Suspends all streams whose next stage is [stage], because it did not answer. */
    fun sendFailed(flight: StageFlight, stage: InstanceId, message: String): List<StageNotice> {
        flight.items.forEach { item ->
            streams[item.stream]?.takeIf { it.flight == flight.number }?.flight = 0
        }
        val affected = streams.values.filter { it.next?.instance == stage && !it.suspended }
        affected.forEach { it.suspended = true }
        return affected.groupBy { it.headAddress }.map { (head, members) ->
            StageNotice(head, members.map { it.key }, stage, message)
        }
    }

    /** Heads for which tokens wait. */
    fun readyHeads(): List<String> =
        streams.values.filter { it.canSendToken }.map { it.headAddress }.distinct()

    /** Takes the tokens of the next message to [headAddress]. */
    fun takeTokens(headAddress: String): List<SampledToken> =
        streams.values
            .filter { it.canSendToken && it.headAddress == headAddress }
            .mapNotNull {
                it.tokenInFlight = true
                it.tokenDue = false
                it.token
            }

    /** Records that [tokens] reached their head, or that the head cannot be reached. */
    fun tokensSent(tokens: List<SampledToken>) {
        tokens.forEach { streams[it.stream]?.tokenInFlight = false }
    }

    /** Sends a stream on another route. */
    fun reroute(order: Reroute): RerouteStatus {
        // Items of older epochs, which a replaced stage may still send, come too late from now on.
        refused.refuseUpTo(order.stream, order.epoch - 1)
        val stream = streams[order.stream] ?: return RerouteStatus.UNKNOWN_STREAM
        if (order.epoch <= stream.epoch) return RerouteStatus.STALE_EPOCH
        val isChanged = order.route.firstOrNull()?.instance != stream.next?.instance
        if (isChanged && stream.outputs.firstPosition > 0) return RerouteStatus.NOT_RETAINED
        stream.adopt(order.epoch, listOf(self) + order.route)
        if (!isChanged) stream.repeatNewest()
        return RerouteStatus.APPLIED
    }

    /** Frees [stream]. Late messages of it are refused from now on. */
    fun release(stream: StreamKey) {
        remove(stream)
    }

    /** Streams that had no input since [limitMs]. */
    fun idleSince(limitMs: Long): List<StreamKey> =
        streams.values.filter { it.lastActiveMs < limitMs }.map { it.key }

    /** How far [stream] came; null if it is not known here. */
    fun progress(stream: StreamKey): StreamProgress? =
        streams[stream]?.let {
            StreamProgress(stream, it.epoch, it.received, it.ran, it.sendFrom, it.suspended)
        }

    /**
     * Streams removed since the last call, whose KV state the engine must free. Those of a step in
     * progress are freed after it.
     */
    fun takeFreed(): List<StreamKey> {
        val (kept, taken) = freed.partition { stream -> steps.any { stream in it } }
        freed.clear()
        freed += kept
        return taken
    }

    // A stream never comes back to a stage that gave it up, but late messages of it may, and
    // would run its first positions again.
    private fun remove(key: StreamKey): StageStream? {
        refused.refuse(key)
        return streams.remove(key)?.also {
            retainedBytes -= it.outputs.sizeBytes
            freed += key
        }
    }

    private fun trim(stream: StageStream) {
        val before = stream.outputs.sizeBytes
        stream.outputs.dropBefore(stream.sendFrom)
        retainedBytes -= before - stream.outputs.sizeBytes
    }

    private fun acknowledge(item: HopItem, status: HopStatus, expectedPosition: Int) =
        HopAckItem(item.stream, status, expectedPosition)

    private companion object {
        const val REFUSED_CAPACITY = 8_192
    }
}
