package org.jacinthlink.decision.stage

import kotlin.math.ceil

/**
 * Estimates the time of a step on one engine as a fixed time plus a time for each position, by
 * linear regression over the recorded steps.
 *
 * Recent steps have more weight than old ones, because the speed of an engine changes with its
 * load. Until enough steps of different sizes have been recorded, the nominal speed is used.
 */
class StepTimeEstimator internal constructor(tokensPerSecond: Double) {
    private var weight = 0.0
    private var meanPositions = 0.0
    private var meanMs = 0.0
    private var variance = 0.0
    private var covariance = 0.0
    private var positionMs = MS_PER_SECOND / tokensPerSecond
    private var isMeasured = false

    /** Records a step of [positions] that took [elapsedMs]. */
    fun record(positions: Int, elapsedMs: Double) {
        weight = weight * DECAY + 1
        val gain = 1 / weight
        val positionsDeviation = positions - meanPositions
        val msDeviation = elapsedMs - meanMs
        meanPositions += gain * positionsDeviation
        meanMs += gain * msDeviation
        variance = (1 - gain) * (variance + gain * positionsDeviation * positionsDeviation)
        covariance = (1 - gain) * (covariance + gain * positionsDeviation * msDeviation)
        // Steps of similar size, which are usual while a bound limits them, give no information
        // about the time of one position.
        val isReliable = weight >= MIN_WEIGHT && variance >= MIN_VARIANCE && covariance > 0
        if (isReliable) {
            positionMs = covariance / variance
            isMeasured = true
        }
    }

    /**
     * Number of positions that a step can run in [stepMs], at least 1. If the fixed time would be
     * more than a fifth of such a step, the number is larger, and the step lasts longer.
     */
    fun positionsWithin(stepMs: Double): Int {
        val fixedMs =
            if (isMeasured) (meanMs - positionMs * meanPositions).coerceAtLeast(0.0) else 0.0
        val efficientPositions = ceil(MIN_VARIABLE_TO_FIXED_RATIO * fixedMs / positionMs).toInt()
        return maxOf(((stepMs - fixedMs) / positionMs).toInt(), efficientPositions, 1)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val DECAY = 0.99
        const val MIN_WEIGHT = 16.0
        const val MIN_VARIANCE = 0.25

        // Keeps the fixed time to at most a fifth of a step.
        const val MIN_VARIABLE_TO_FIXED_RATIO = 4
    }
}

/** Creates an estimator without recorded steps for an engine with a nominal [tokensPerSecond]. */
fun stepTimeEstimator(
    tokensPerSecond: Double
): StepTimeEstimator = StepTimeEstimator(tokensPerSecond)
