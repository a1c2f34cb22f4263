package org.jacinthlink.decision.admission

import kotlin.math.exp

/** Exponential moving average of tokens per ms. */
class TokenRate internal constructor(private val windowMs: Double) {
    private var tokensPerMs = 0.0
    private var updatedAtMs: Long? = null

    /** Adds [tokens] at [nowMs]. */
    fun add(tokens: Long, nowMs: Long) {
        tokensPerMs = perMs(nowMs) + tokens / windowMs
        updatedAtMs = nowMs
    }

    /** The average at [nowMs], in tokens per ms. */
    fun perMs(nowMs: Long): Double {
        val elapsedMs = nowMs - (updatedAtMs ?: return 0.0)
        return tokensPerMs * exp(-elapsedMs / windowMs)
    }
}
