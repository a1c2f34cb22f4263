package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.Holding
import org.jacinthlink.api.ManifestResult
import org.jacinthlink.api.WeightStore

/** Creates the order to hold [holding], refused while its layer count is not confirmed. */
internal fun engineLoader(
    holding: Holding.Stage,
    weights: WeightStore,
    order: () -> EngineResult<Unit>
): () -> EngineResult<Unit> {
    var isConfirmed = false
    return {
        val fault = if (isConfirmed) null else manifestFault(holding, weights)
        isConfirmed = fault == null
        fault?.let { EngineResult.Refused(it) } ?: order()
    }
}

private fun manifestFault(holding: Holding.Stage, weights: WeightStore): String? =
    when (val result = weights.manifest(holding.model)) {
        ManifestResult.Absent -> "the weight store does not know ${holding.model}"
        is ManifestResult.Unavailable -> "the weight store: ${result.message}"
        is ManifestResult.Found -> {
            val found = result.manifest.layerCount
            "holding.layerCount: ${holding.layerCount}, the weight store has $found"
                .takeIf { found != holding.layerCount }
        }
    }
