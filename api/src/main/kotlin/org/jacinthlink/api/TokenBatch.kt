package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Tokens that a last stage sampled and sends to the head of their streams (`POST /v1/tokens`). */
@Serializable
data class TokenBatch(val items: List<SampledToken>)

/** Token at [position] of [stream]. */
@Serializable
data class SampledToken(val stream: StreamKey, val epoch: Int, val position: Int, val text: String)
