package org.jacinthlink.sidecar.stage

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutorService
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.StageProgress
import org.jacinthlink.api.StreamKey
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.events.EventLog

/** Finds the silent stage of streams that wait too long for a token. */
internal class Watchdog(
    private val head: Head,
    private val self: InstanceId,
    private val runner: StageRunner,
    private val peers: StagePeers,
    private val failover: Failover,
    private val notices: FailureNotices,
    private val executor: ExecutorService,
    private val events: EventLog,
    private val limits: HeadLimits
) {
    /** Asks the stages of all streams that are overdue, each stage once. */
    fun tick(nowMs: Long) {
        val overdue =
            head.withAllRunning { streams ->
                streams
                    .filter { !it.isFailingOver && nowMs - it.progressAtMs >= patienceMs(it) }
                    .onEach { it.probes++ }
                    .map { Overdue(it.key, it.route, it.probes, it.gapMs) }
            }
        if (overdue.isEmpty()) return
        val byStage =
            overdue
                .flatMap { stream -> stream.route.map { it to stream.key } }
                .groupBy({ it.first }, { it.second })
        val asked =
            byStage.mapValues { (stage, keys) ->
                CompletableFuture.supplyAsync({ ask(stage, keys) }, executor)
            }
        executor.execute {
            val answers = asked.mapValues { it.value.join() }
            answers.filterValues { it == null }.keys.forEach(::reportSilent)
            overdue.forEach { judge(it, answers) }
        }
    }

    // Each probe without a result doubles the pause before the next one.
    private fun patienceMs(stream: HeadStream): Double =
        maxOf(limits.silenceMs.toDouble(), GAPS * stream.gapMs) *
            (1 shl minOf(stream.probes, MAX_DOUBLINGS))

    private fun ask(stage: FlowStage, keys: List<StreamKey>): StageProgress? =
        if (stage.instance == self) {
            runner.progress(keys)
        } else {
            when (val reply = peers.progress(stage.address, keys)) {
                is PeerReply.Answered -> reply.value
                is PeerReply.Failed -> null
            }
        }

    private fun reportSilent(stage: FlowStage) {
        if (stage.instance == self) return
        events.record("stage_silent", null, "stage" to stage.instance.value)
        notices.report(setOf(stage.instance))
    }

    private fun judge(stream: Overdue, answers: Map<FlowStage, StageProgress?>) {
        val failed = stream.route.filter { isFailed(answers[it], stream.gapMs) }
        val isLost = { stage: FlowStage -> answers[stage]?.ready == false }
        when {
            failed.any { it.instance == self } ->
                head.fail(stream.key, "the backend server does not answer")
            failed.isNotEmpty() ->
                failover.begin(stream.key, instances(failed), instances(failed.filter(isLost)))
            stream.probes >= NUDGE_AFTER_PROBES && isIdle(stream, answers) ->
                failover.nudge(stream.key)
        }
    }

    private fun isFailed(answer: StageProgress?, gapMs: Double): Boolean =
        answer == null ||
            !answer.ready ||
            answer.stepAgeMs > maxOf(limits.stepStallMs.toDouble(), GAPS * gapMs)

    private fun instances(stages: List<FlowStage>) = stages.map { it.instance }.toSet()

    // A stage with pending inputs is merely slow; without any, a message was lost.
    private fun isIdle(stream: Overdue, answers: Map<FlowStage, StageProgress?>): Boolean =
        stream.route.none { stage ->
            answers[stage]?.streams.orEmpty().any {
                it.stream == stream.key && it.received > it.ran
            }
        }

    private data class Overdue(
        val key: StreamKey,
        val route: List<FlowStage>,
        val probes: Int,
        val gapMs: Double
    )

    private companion object {
        const val GAPS = 10
        const val MAX_DOUBLINGS = 4
        const val NUDGE_AFTER_PROBES = 2
    }
}
