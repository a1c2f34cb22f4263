package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.HopItem
import org.jacinthlink.api.RouteStage
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkspaceId

/** State of one stream on one stage. Guarded by its [StageState]. */
internal class StageStream(item: HopItem) {
    val key: StreamKey = item.stream
    val headAddress: String = item.headAddress
    val isolated: Boolean = item.isolated
    val workClass: String = item.workClass
    val workspace: WorkspaceId = item.workspace
    val stageCount: Int = maxOf(item.stageCount, item.route.size)
    var epoch = item.epoch
    var route = item.route
    val outputs = OutputLog()

    /** Inputs from position [ran] on. Those of the step in progress stay until it completes. */
    val pending = ArrayDeque<String>()
    var ran = 0

    /** Number of positions in the step in progress. */
    var stepping = 0

    /** Outputs below this position rebuild a replaced stage. */
    var replayUntil = 0

    /** Next position to send on. */
    var sendFrom = 0
    var highestSent = 0

    /** Number of the message that carries outputs of this stream; 0 if there is none. */
    var flight = 0L

    /** True after the next stage failed, until the head orders another route. */
    var suspended = false
    var retentionDropped = false
    var token: SampledToken? = null
    var tokenDue = false
    var tokenInFlight = false
    var lastActiveMs = 0L

    val received: Int get() = ran + pending.size
    val next: RouteStage? get() = route.getOrNull(1)
    val canStep: Boolean get() = stepping == 0 && pending.isNotEmpty()
    val canSend: Boolean get() = next != null && sendFrom < ran && flight == 0L && !suspended
    val canSendToken: Boolean get() = tokenDue && !tokenInFlight && token != null

    /** Takes over a newer route. A changed next stage gets all outputs from the first one on. */
    fun adopt(newEpoch: Int, newRoute: List<RouteStage>) {
        val changed = newRoute.getOrNull(1)?.instance != next?.instance
        epoch = newEpoch
        route = newRoute
        suspended = false
        if (changed) {
            flight = 0
            replayUntil = maxOf(replayUntil, highestSent)
            sendFrom = 0
        }
        token = token?.copy(epoch = newEpoch)
    }

    /** Sends the newest output again, for a peer behind that may have missed it. */
    fun repeatNewest() {
        tokenDue = tokenDue || token != null
        if (ran > 0 && sendFrom == ran && flight == 0L) sendFrom = ran - 1
    }

    fun accept(item: HopItem, skipCount: Int, nowMs: Long) {
        val end = item.firstPosition + item.payloads.size
        pending += item.payloads.drop(skipCount)
        if (item.replay) replayUntil = maxOf(replayUntil, end)
        lastActiveMs = nowMs
    }

    /** The next outputs to send on, up to [maxBytes]. */
    fun nextHop(maxBytes: Int): HopItem {
        val isReplay = sendFrom < replayUntil
        val end = if (isReplay) replayUntil else ran
        return HopItem(
            stream = key,
            epoch = epoch,
            firstPosition = sendFrom,
            payloads = outputs.read(sendFrom, end, maxBytes),
            route = route.drop(1),
            headAddress = headAddress,
            replay = isReplay,
            isolated = isolated,
            workClass = workClass,
            workspace = workspace,
            stageCount = stageCount
        )
    }

    /** Records the outputs of the step in progress. */
    fun completeStep(payloads: List<String>, nextToken: String?, nowMs: Long) {
        repeat(stepping) { pending.removeFirst() }
        ran += stepping
        stepping = 0
        lastActiveMs = nowMs
        if (next == null) {
            token = nextToken?.let { SampledToken(key, epoch, ran, it) }
            tokenDue = pending.isEmpty() && token != null
        } else {
            outputs.append(payloads)
            // The next stage has most outputs of a replay already. The newest one shows whether
            // any are missing, by a gap.
            if (ran <= replayUntil) sendFrom = maxOf(sendFrom, ran - 1)
        }
    }
}

/** True if [stage], with the same layers, is the next one on the route of this item. */
internal fun HopItem.isFor(stage: RouteStage): Boolean =
    route.firstOrNull()?.let {
        it.instance == stage.instance &&
            it.firstLayer == stage.firstLayer &&
            it.endLayer == stage.endLayer
    } ?: false
