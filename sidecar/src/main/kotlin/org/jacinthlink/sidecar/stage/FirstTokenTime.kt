package org.jacinthlink.sidecar.stage

import kotlin.math.pow

/**
 * Smoothed time from the start of a stream to its first token.
 *
 * It halves in each second without a sample. A class whose time exceeds its target is refused and
 * gives no samples, so that without the decay it would be refused for ever.
 */
internal class FirstTokenTime {
    private var smoothedMs = 0.0
    private var sampledAtMs = 0L

    fun record(elapsedMs: Long, nowMs: Long) {
        val formerMs = at(nowMs)
        smoothedMs = formerMs + WEIGHT * (elapsedMs - formerMs)
        sampledAtMs = nowMs
    }

    fun at(nowMs: Long): Double =
        smoothedMs * 0.5.pow((nowMs - sampledAtMs).coerceAtLeast(0) / HALF_LIFE_MS)

    private companion object {
        const val WEIGHT = 0.3
        const val HALF_LIFE_MS = 1_000.0
    }
}
