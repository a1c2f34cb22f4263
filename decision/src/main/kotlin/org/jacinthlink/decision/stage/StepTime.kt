package org.jacinthlink.decision.stage

import kotlin.math.ceil

/**
 * Time that a step takes on one engine, fitted as a fixed part and a part for each position.
 *
 * Recent steps weigh more than old ones, because the speed of an engine changes with its load.
 */
class StepTime internal constructor() {
    private var weight = 0.0
    private var meanPositions = 0.0
    private var meanMs = 0.0
    private var variance = 0.0
    private var covariance = 0.0
    private var positionMs: Double? = null

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
        if (isKnown) positionMs = covariance / variance
    }

    /**
     * Positions of a step that lasts [stepMs], but as many as keep the fixed part of the step to a
     * fifth of its time at most; null until steps of unlike size have been seen.
     */
    fun positionsWithin(stepMs: Double): Int? {
        val positionMs = positionMs ?: return null
        val fixedMs = (meanMs - positionMs * meanPositions).coerceAtLeast(0.0)
        val efficient = ceil(EFFICIENT_PARTS * fixedMs / positionMs).toInt()
        return maxOf(((stepMs - fixedMs) / positionMs).toInt(), efficient, 1)
    }

    private companion object {
        const val DECAY = 0.99
        const val MIN_WEIGHT = 16.0
        const val MIN_VARIANCE = 0.25

        // Variable time for each part of fixed time.
        const val EFFICIENT_PARTS = 4
    }
}

/** Creates an estimate without samples. */
fun stepTime(): StepTime = StepTime()
