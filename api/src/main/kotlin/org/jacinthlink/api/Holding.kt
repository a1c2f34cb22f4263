package org.jacinthlink.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the backend server beside a sidecar serves. */
@Serializable
sealed interface Holding {
    /**
     * Layers [firstLayer] until [endLayer] (exclusive) of a model with [layerCount] layers.
     *
     * @property tokensPerSecond Nominal speed of the accelerator for this range.
     */
    @Serializable
    @SerialName("stage")
    data class Stage(
        val model: String,
        val firstLayer: Int,
        val endLayer: Int,
        val layerCount: Int,
        val tokensPerSecond: Double
    ) : Holding {
        /** True if this range receives prompts and queues requests. */
        val isHead: Boolean get() = firstLayer == 0

        /** True if this range samples tokens. */
        val isLast: Boolean get() = endLayer == layerCount
    }

    /**
     * A plain service.
     *
     * @property idempotentMethods HTTP methods that may be retried without an idempotency key.
     */
    @Serializable
    @SerialName("service")
    data class Service(
        val service: String,
        val idempotentMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS")
    ) : Holding
}
