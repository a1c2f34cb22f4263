package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.Holding
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.LeaseResult
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ManifestResult
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.WeightStore

/** Creates the order to hold [holding], refused while its layer count is not confirmed. */
internal fun engineLoader(
    holding: Holding.Stage,
    engine: ModelEngine,
    weights: WeightStore,
    keyValue: KeyValueService
): () -> EngineResult<Unit> = EngineLoader(holding, engine, weights, keyValue)::load

private class EngineLoader(
    private val holding: Holding.Stage,
    private val engine: ModelEngine,
    private val weights: WeightStore,
    private val keyValue: KeyValueService
) {
    private var isConfirmed = false
    private var fence: Long? = null

    fun load(): EngineResult<Unit> {
        manifestFault()?.let { return EngineResult.Refused(it) }
        val number = fence() ?: return EngineResult.Refused("no fencing number is available")
        return engine.load(
            LoadOrder(
                holding.model,
                holding.firstLayer,
                holding.endLayer,
                holding.layerCount,
                number
            )
        )
    }

    private fun manifestFault(): String? {
        if (isConfirmed) return null
        return when (val result = weights.manifest(holding.model)) {
            ManifestResult.Absent -> "the weight store does not know ${holding.model}"
            is ManifestResult.Unavailable -> "the weight store: ${result.message}"
            is ManifestResult.Found -> {
                val found = result.manifest.layerCount
                isConfirmed = found == holding.layerCount
                "holding.layerCount: ${holding.layerCount}, the weight store has $found"
                    .takeUnless { isConfirmed }
            }
        }
    }

    // The latest number is used again while the key-value service is down.
    private fun fence(): Long? {
        val lease = keyValue.grantLease(LEASE_TTL_MS)
        if (lease is LeaseResult.Held) fence = lease.leaseId
        return fence
    }

    private companion object {
        const val LEASE_TTL_MS = 30_000L
    }
}
