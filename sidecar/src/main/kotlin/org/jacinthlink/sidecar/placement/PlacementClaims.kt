package org.jacinthlink.sidecar.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ReadResult
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.decision.placement.PlacementClaim
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.Clock

/**
 * Lets one runner of [model] at a time change its layers, which also bounds the load on the weight
 * store.
 */
internal class PlacementClaims(
    model: String,
    private val keyValue: KeyValueService,
    private val wall: Clock
) {
    private val key = "jacinthlink/placement/$model"

    /**
     * Takes the claim of [self] for [target]; false if another change is not visible in [stages]
     * yet or the service does not answer.
     */
    fun take(self: FlowStage, target: Holding.Stage, stages: Collection<FlowStage>): Boolean {
        val read = keyValue.get(key) as? ReadResult.Found ?: return false
        val nowMs = wall.nowMs()
        val present = read.value?.let { decode(it.value) }
        if (present?.excludes(self.instance, stages, nowMs) == true) return false
        val claim =
            PlacementClaim(self.instance, target.firstLayer, target.endLayer, nowMs + CLAIM_MS)
        val value = ProtocolJson.encodeToString(PlacementClaim.serializer(), claim)
        val result = keyValue.compareAndSwap(key, read.value?.version ?: 0, value)
        return result is SwapResult.Swapped
    }

    // An unreadable claim must not keep runners from moving for ever.
    private fun decode(value: String): PlacementClaim? =
        ProtocolJson.decodeOrNull(PlacementClaim.serializer(), value)

    private companion object {
        // Longer than a move, which waits for streams and has its engine load the layers.
        const val CLAIM_MS = 60_000L
    }
}
