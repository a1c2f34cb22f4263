package org.jacinthlink.sidecar.stage

import java.util.UUID
import java.util.concurrent.ExecutorService
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.HopAck
import org.jacinthlink.api.HopAckItem
import org.jacinthlink.api.HopBatch
import org.jacinthlink.api.HopStatus
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.RerouteStatus
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StageProgress
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.TokenBatch
import org.jacinthlink.api.WorkClass
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog

/**
 * Runs the streams of one stage: inbox, batch loop over the engine, and one outbox for each next
 * stage and each head.
 *
 * The lock is never held while the engine, a peer or the local head is called.
 */
internal class StageRunner(
    private val self: RouteStage,
    private val engine: EngineGuard,
    private val peers: StagePeers,
    private val executor: ExecutorService,
    private val clock: Clock,
    private val events: EventLog,
    private val limits: StageLimits = StageLimits()
) {
    private val lock = ReentrantLock()
    private val inputsReady = lock.newCondition()
    private val state = StageState(self, limits, engine::positionsWithin)
    private val flights = FlightCounts()

    // Streams of the calls to the engine that are in progress.
    private val calling = HashSet<StreamKey>()

    /** Head of the streams that start here. Set once, before the first message. */
    @Volatile
    var localHead: StreamHead? = null

    val streamCount: Int get() = lock.withLock { state.streamCount }

    fun classesChanged(classes: Map<String, WorkClass>) = lock.withLock { state.update(classes) }

    /** Takes a message from the stage before, or from the head on this process. */
    fun receive(batch: HopBatch): HopAck {
        if (!engine.ready) {
            return HopAck(batch.items.map { HopAckItem(it.stream, HopStatus.WRONG_LAYERS, 0) })
        }
        val nowMs = clock.nowMs()
        val answers =
            lock.withLock {
                batch.items.map { state.receive(it, nowMs) }.also { inputsReady.signalAll() }
            }
        sendReady()
        return HopAck(answers)
    }

    fun reroute(order: Reroute): RerouteStatus {
        val status = lock.withLock { state.reroute(order) }
        events.record(
            "stream_rerouted",
            order.stream.requestId,
            "epoch" to order.epoch,
            "next" to order.route.firstOrNull()?.instance?.value,
            "status" to status
        )
        sendReady()
        return status
    }

    fun release(streams: List<StreamKey>) {
        lock.withLock {
            streams.forEach(state::release)
            inputsReady.signalAll()
        }
    }

    fun progress(streams: List<StreamKey>): StageProgress =
        StageProgress(
            engine.ready,
            engine.stepAgeMs(clock.nowMs()),
            lock.withLock { streams.mapNotNull(state::progress) }
        )

    /** Frees streams whose head has been silent for too long. */
    fun releaseIdle(nowMs: Long) {
        val idle = lock.withLock { state.idleSince(nowMs - limits.idleStreamMs) }
        if (idle.isEmpty()) return
        events.record("idle_streams_released", null, "count" to idle.size)
        release(idle)
    }

    /**
     * Runs the batch loop until the thread is interrupted.
     *
     * [StageLimits.engineSteps] threads run it, so that the engine has its next step while the
     * outputs of the former one are on their way.
     */
    fun runLoop() {
        while (!Thread.currentThread().isInterrupted) {
            if (!engine.recover()) {
                Thread.sleep(RECOVERY_INTERVAL_MS)
            } else {
                val inputs = awaitInputs()
                try {
                    runStep(inputs)
                } finally {
                    endStep(inputs)
                }
            }
        }
    }

    private fun endStep(inputs: List<EngineInput>) =
        lock.withLock {
            state.endStep(inputs)
            inputsReady.signalAll()
        }

    private fun awaitInputs(): List<EngineInput> =
        lock.withLock {
            while (true) {
                freeStreams()
                val inputs = state.nextStep()
                if (inputs.isNotEmpty()) return inputs
                inputsReady.await()
            }
            @Suppress("UNREACHABLE_CODE")
            emptyList()
        }

    private fun freeStreams() {
        val freed = state.takeFreed()
        if (freed.isNotEmpty()) execute { freed.forEach(engine::release) }
    }

    private fun runStep(inputs: List<EngineInput>) {
        when (val result = call(inputs)) {
            is EngineResult.Done -> complete(result.value)
            is EngineResult.Refused -> refused(inputs, result.message)
            is EngineResult.NotSent, is EngineResult.Broken, null -> Unit
        }
    }

    private fun call(inputs: List<EngineInput>): EngineResult<List<EngineOutput>>? {
        val streams = inputs.map { it.stream }.toSet()
        lock.withLock { calling += streams }
        try {
            val result = engine.step(inputs)
            when (result) {
                is EngineResult.NotSent -> lost(ranNot = streams, result.message)
                is EngineResult.Broken -> lost(ranNot = emptySet(), result.message)
                is EngineResult.Done, is EngineResult.Refused, null -> Unit
            }
            return result
        } finally {
            lock.withLock { calling -= streams }
        }
    }

    private fun complete(outputs: List<EngineOutput>) {
        lock.withLock { state.completeStep(outputs, clock.nowMs()) }
        sendReady()
    }

    // One bad input makes the engine refuse the whole step; run alone, only that one fails.
    private fun refused(inputs: List<EngineInput>, message: String) {
        if (inputs.size > 1) {
            inputs.forEach { if (engine.ready) runStep(listOf(it)) }
            return
        }
        val stream = inputs.single().stream
        events.record("step_refused", stream.requestId, "message" to message)
        report(lock.withLock { listOfNotNull(state.lose(stream, message)) })
    }

    // Any of the calls in progress may have crashed the engine, whichever of them ends first; a
    // call that could not be sent may end before the one that crashed it.
    private fun lost(ranNot: Set<StreamKey>, message: String) =
        report(
            lock.withLock {
                val suspects = calling - ranNot
                val crashId = if (suspects.isEmpty()) "" else UUID.randomUUID().toString()
                state.loseAll(suspects, crashId, message)
            }
        )

    private fun sendReady() {
        val sends = ArrayList<() -> Unit>()
        lock.withLock {
            for (stage in state.readyStages()) {
                if (!flights.begin(stage.address)) continue
                val flight = state.takeHops(stage.instance)
                sends.add { execute { sendHops(stage, flight) } }
            }
            for (head in state.readyHeads()) {
                val isLocal = head == self.address && localHead != null
                if (!isLocal && !flights.begin(head)) continue
                val tokens = state.takeTokens(head)
                sends.add {
                    if (isLocal) deliverLocally(tokens) else execute { sendTokens(head, tokens) }
                }
            }
        }
        sends.forEach { it() }
    }

    private fun sendHops(stage: RouteStage, flight: StageFlight) {
        val reply = peers.sendHops(stage.address, HopBatch(flight.items))
        val faults =
            lock.withLock {
                flights.end(stage.address)
                when (reply) {
                    is PeerReply.Answered -> state.acknowledged(flight, reply.value.items)
                    is PeerReply.Failed -> state.sendFailed(flight, stage.instance, reply.message)
                }
            }
        report(faults)
        sendReady()
    }

    private fun sendTokens(head: String, tokens: List<SampledToken>) {
        val reply = peers.sendTokens(head, TokenBatch(tokens))
        lock.withLock {
            flights.end(head)
            state.tokensSent(tokens)
        }
        when (reply) {
            is PeerReply.Answered -> release(reply.value.streams)
            is PeerReply.Failed ->
                events.record(
                    "tokens_not_sent",
                    null,
                    "head" to head,
                    "count" to tokens.size,
                    "message" to reply.message
                )
        }
        sendReady()
    }

    private fun deliverLocally(tokens: List<SampledToken>) {
        lock.withLock { state.tokensSent(tokens) }
        localHead?.onTokens(tokens)
    }

    private fun report(notices: List<StageNotice>) {
        for (notice in notices) {
            val fault =
                StageFault(
                    notice.streams,
                    notice.stage,
                    self.instance,
                    notice.crashId.isNotEmpty(),
                    notice.message,
                    notice.crashId
                )
            events.record(
                "stage_fault",
                notice.streams.singleOrNull()?.requestId,
                "stage" to notice.stage.value,
                "streams" to notice.streams.size,
                "crash_id" to notice.crashId.ifEmpty { null },
                "message" to notice.message
            )
            if (notice.headAddress == self.address) {
                localHead?.onFault(fault)
            } else {
                execute { peers.sendFault(notice.headAddress, fault) }
            }
        }
    }

    private fun execute(task: () -> Unit) {
        try {
            executor.execute(task)
        } catch (_: RejectedExecutionException) {
            // The process is stopping; its peers notice that it went away.
        }
    }

    private companion object {
        const val RECOVERY_INTERVAL_MS = 200L
    }
}
