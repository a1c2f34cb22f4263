package org.jacinthlink.decision.routing

import kotlinx.serialization.Serializable

/**
 * Limits of a queue. They apply to each class separately, so that a flood of one class does not use
 * the capacity of another.
 *
 * @property maxClassTokens Limits the memory that the queued prompts use.
 */
@Serializable
data class AdmissionLimits(val maxClassRequests: Int = 512, val maxClassTokens: Long = 1_000_000)
