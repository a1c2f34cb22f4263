package org.jacinthlink.decision.routing

import kotlinx.serialization.Serializable

/**
 * Bounds of a queue. They hold for each class, so that a flood of one class takes no room of
 * another.
 *
 * @property maxClassTokens Bounds the memory of the queued prompts.
 */
@Serializable
data class AdmissionLimits(val maxClassRequests: Int = 512, val maxClassTokens: Long = 1_000_000)
