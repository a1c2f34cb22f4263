package org.jacinthlink.decision.stage

import kotlin.math.ceil

/**
 * Time that a step takes on one engine, fitted as a fixed part and a part for each position.
 *
 * Recent steps weigh more than old ones, because the speed of an engine changes with its load.
 * Until steps of unlike size have been seen, the nominal speed counts.
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
        val positionsOff = positions - meanPositions
        val msOff = elapsedMs - meanMs
        meanPositions += gain * positionsOff
        meanMs += gain * msOff
        variance = (1 - gain) * (variance + gain * positionsOff * positionsOff)
        covariance = (1 - gain) * (covariance + gain * positionsOff * msOff)
        // Steps of like size, as under a bound, say nothing about the time of one position.
        val isKnown = weight >= MIN_WEIGHT && variance >= MIN_VARIANCE && covariance > 0
        if (isKnown) {
            positionMs = covariance / variance
            isMeasured = true
        }
    }

    /**
     * Positions of a step that lasts [stepMs], but as many as keep the fixed part of the step to a
     * fifth of its time at most.
     */
    fun positionsWithin(stepMs: Double): Int {
        val fixedMs =
            if (isMeasured) (meanMs - positionMs * meanPositions).coerceAtLeast(0.0) else 0.0
        val efficient = ceil(EFFICIENT_PARTS * fixedMs / positionMs).toInt()
        return maxOf(((stepMs - fixedMs) / positionMs).toInt(), efficient, 1)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val DECAY = 0.99
        const val MIN_WEIGHT = 16.0
        const val MIN_VARIANCE = 0.25

        // Variable time for each part of fixed time.
        const val EFFICIENT_PARTS = 4
    }
}

/** Creates an estimate without samples for an engine of nominally [tokensPerSecond]. */
fun stepTimeEstimator(tokensPerSecond: Double): StepTimeEstimator = StepTimeEstimator(tokensPerSecond)
