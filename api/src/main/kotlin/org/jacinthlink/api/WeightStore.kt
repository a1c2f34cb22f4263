package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Reads the manifest of [model]. */
    fun manifest(model: String): ManifestResult
}

/** Number and size of the layers of a model in the weight store. */
@Serializable
data class ModelManifest(val model: String, val layerCount: Int, val layerSizeBytes: Long)

/** Result of [WeightStore.manifest]. */
sealed interface ManifestResult {
    data class Found(val manifest: ModelManifest) : ManifestResult

    /** The store does not contain the model. */
    data object Absent : ManifestResult

    /** The store refused the read because of its rate limit, or did not answer. */
    data class Unavailable(val message: String, val retryAfterMs: Long) : ManifestResult
}
