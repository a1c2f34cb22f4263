package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Describes [model]. */
    fun manifest(model: String): ManifestResult
}

/** Shape of a model in the weight store. */
@Serializable
data class ModelManifest(val model: String, val layerCount: Int, val layerSizeBytes: Long)

/** Result of a manifest read. */
sealed interface ManifestResult {
    /** The model's manifest. */
    data class Found(val manifest: ModelManifest) : ManifestResult

    /** The store does not know the model. */
    data object Absent : ManifestResult

    /** The store refused for its rate limit or did not answer. */
    data class Unavailable(val message: String, val retryAfterMs: Long) : ManifestResult
}
