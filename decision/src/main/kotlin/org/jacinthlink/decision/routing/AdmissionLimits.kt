package org.jacinthlink.decision.routing

/**
 * Bounds of a queue. They hold for each class, so that a flood of one class takes no room of
 * another.
 *
 * @property maxClassTokens Bounds the memory of the queued prompts.
 */
data class AdmissionLimits(val maxClassRequests: Int = 512, val maxClassTokens: Long = 1_000_000)
