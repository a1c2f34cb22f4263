package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Tokens sampled by a last stage, sent to the head of their streams (`POST /v1/tokens`). */
@Serializable
data class TokenBatch(val items: List<SampledToken>)

/** A token that belongs at [position] of [stream]. */
@Serializable
data class SampledToken(val stream: StreamKey, val epoch: Int, val position: Int, val text: String)
