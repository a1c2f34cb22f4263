package org.jacinthlink.decision.admission

import kotlin.math.abs

/**
 * Time from the start of a request to the first part of its answer, up to which nearly all come.
 *
 * Load pattern: prompts queue up at the engines in a burst, so a request that waits at a router
 * must start earlier to be answered before its caller leaves. The bound is the mean plus four mean
 * deviations, as for the retransmission timeout of TCP (RFC 6298).
 */
class AnswerTime internal constructor() {
    private var meanMs = 0.0
    private var deviationMs = 0.0
    private var hasSamples = false

    /** Bound of the time, in ms. */
    val boundMs: Long
        get() = if (hasSamples) (meanMs + DEVIATIONS * deviationMs).toLong() else INITIAL_MS

    /** Records an answer that began [elapsedMs] after its request was sent. */
    fun record(elapsedMs: Long) {
        if (hasSamples) {
            deviationMs += DEVIATION_WEIGHT * (abs(elapsedMs - meanMs) - deviationMs)
            meanMs += MEAN_WEIGHT * (elapsedMs - meanMs)
        } else {
            hasSamples = true
            meanMs = elapsedMs.toDouble()
            deviationMs = elapsedMs / 2.0
        }
    }

    private companion object {
        /** Bound before the first answer. */
        const val INITIAL_MS = 300L
        const val DEVIATIONS = 4
        const val MEAN_WEIGHT = 0.125
        const val DEVIATION_WEIGHT = 0.25
    }
}

/** Creates a time without answers. */
fun answerTime(): AnswerTime = AnswerTime()
