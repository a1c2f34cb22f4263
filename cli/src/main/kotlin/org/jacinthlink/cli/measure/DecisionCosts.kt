package org.jacinthlink.cli.measure

import kotlin.random.Random
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId
import org.jacinthlink.decision.routing.QueuedRequest
import org.jacinthlink.decision.routing.fairQueue
import org.jacinthlink.decision.routing.flowPlan
import org.jacinthlink.decision.routing.powerOfChoicesHeadSelector
import org.jacinthlink.decision.routing.routeRotation

/** Costs of the decisions at [size] runners of one model, or [size] workspaces in a queue. */
internal fun decisionCosts(size: Int, seed: Int): List<DecisionCost> =
    listOf(headChoiceCost(size, seed), routeCost(size, seed), queueCost(size), planCost(size, seed))

private fun headChoiceCost(size: Int, seed: Int): DecisionCost {
    val choice = powerOfChoicesHeadSelector("zone-0")
    val random = Random(seed)
    val prepare = { GeneratedFleet.heads(size, random) }
    return measureCost("head_choice", size, CALLS, prepare) { heads, _ ->
        choice.choose(heads, emptySet(), GeneratedFleet.NOW_MS, random)
    }
}

private fun routeCost(size: Int, seed: Int): DecisionCost {
    val prepare = {
        routeRotation(flowPlan(GeneratedFleet.MODEL, GeneratedFleet.stages(size, seed)))
    }
    return measureCost("route", size, CALLS, prepare) { rotation, _ -> rotation.next() }
}

private fun planCost(size: Int, seed: Int): DecisionCost {
    val prepare = { GeneratedFleet.stages(size, seed) }
    return measureCost("flow_plan", size, PLAN_CALLS, prepare) { stages, _ ->
        flowPlan(GeneratedFleet.MODEL, stages)
    }
}

private fun queueCost(size: Int): DecisionCost {
    val prepare = {
        fairQueue(CLASSES).also { queue -> repeat(size) { queue.offer(request(it, size)) } }
    }
    return measureCost("queue_offer_and_poll", size, CALLS, prepare) { queue, index ->
        queue.offer(request(index, size))
        queue.poll(GeneratedFleet.NOW_MS)
    }
}

private fun request(index: Int, workspaces: Int) =
    QueuedRequest(
        StreamKey(RequestId("r$index"), 0),
        WorkspaceId("w${index % workspaces}"),
        CLASSES.keys.elementAt(index % CLASSES.size),
        costTokens = 100,
        enqueuedAtMs = GeneratedFleet.NOW_MS,
        deadlineAtMs = GeneratedFleet.NOW_MS + 1_000
    )

private val CLASSES =
    listOf(WorkClass("a", 750, worth = 100), WorkClass("b", 5_000, worth = 10))
        .associateBy { it.name }
private const val CALLS = 20_000
private const val PLAN_CALLS = 30
