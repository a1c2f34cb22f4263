package org.jacinthlink.cli.measure

import kotlin.random.Random
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.HeadCandidate
import org.jacinthlink.decision.routing.QueuedRequest
import org.jacinthlink.decision.routing.fairQueue
import org.jacinthlink.decision.routing.flowPlan
import org.jacinthlink.decision.routing.headChoice
import org.jacinthlink.decision.routing.routeRotation

/** Costs of the decisions at [size] runners of one model, or [size] workspaces in a queue. */
internal fun decisionCosts(size: Int, seed: Int): List<DecisionCost> =
    listOf(headChoiceCost(size, seed), routeCost(size, seed), queueCost(size), planCost(size, seed))

private fun headChoiceCost(size: Int, seed: Int): DecisionCost {
    val choice = headChoice("zone-0")
    val random = Random(seed)
    return measureCost("head_choice", size, CALLS, { heads(size, random) }) { heads, _ ->
        choice.choose(heads, emptySet(), NOW_MS, random)
    }
}

private fun routeCost(size: Int, seed: Int): DecisionCost {
    val prepare = { routeRotation(flowPlan(MODEL, stages(size, seed))) }
    return measureCost("route", size, CALLS, prepare) { rotation, _ -> rotation.next() }
}

private fun planCost(size: Int, seed: Int): DecisionCost {
    val prepare = { stages(size, seed) }
    return measureCost("flow_plan", size, PLAN_CALLS, prepare) { stages, _ ->
        flowPlan(MODEL, stages)
    }
}

private fun queueCost(size: Int): DecisionCost {
    val prepare = {
        fairQueue(CLASSES).also { queue -> repeat(size) { queue.offer(request(it, size)) } }
    }
    return measureCost("queue_offer_and_poll", size, CALLS, prepare) { queue, index ->
        queue.offer(request(index, size))
        queue.poll(NOW_MS)
    }
}

private fun request(index: Int, workspaces: Int) =
    QueuedRequest(
        StreamKey(RequestId("r$index"), 0),
        WorkspaceId("w${index % workspaces}"),
        CLASSES.keys.elementAt(index % CLASSES.size),
        costTokens = 100,
        enqueuedAtMs = NOW_MS,
        deadlineAtMs = NOW_MS + 1_000
    )

private fun heads(size: Int, random: Random): List<HeadCandidate> =
    List(size) {
        HeadCandidate(
            InstanceId("head-$it"),
            "zone-${it % ZONES}",
            tokensPerSecond = random.nextDouble(100.0, 10_000.0),
            report = LoadReport(expectedWaitMs = random.nextDouble(0.0, 500.0)),
            reportedAtMs = NOW_MS
        )
    }

/** Runners of seven speeds over four layer ranges, as at the target size. */
private fun stages(size: Int, seed: Int): List<FlowStage> {
    val random = Random(seed)
    return List(size) {
        val range = it % RANGES
        FlowStage(
            InstanceId("runner-$it"),
            "127.0.0.1:${10_000 + it}",
            "zone-${it % ZONES}",
            Holding.Stage(
                MODEL,
                range * LAYERS_PER_RANGE,
                (range + 1) * LAYERS_PER_RANGE,
                RANGES * LAYERS_PER_RANGE,
                tokensPerSecond = 1_000.0 * (1 + random.nextInt(ACCELERATOR_KINDS))
            )
        )
    }
}

private val CLASSES =
    listOf(WorkClass("a", 750, worth = 100), WorkClass("b", 5_000, worth = 10))
        .associateBy { it.name }
private const val MODEL = "model"
private const val NOW_MS = 1_000_000L
private const val CALLS = 20_000
private const val PLAN_CALLS = 30
private const val ZONES = 8
private const val RANGES = 4
private const val LAYERS_PER_RANGE = 20
private const val ACCELERATOR_KINDS = 7
