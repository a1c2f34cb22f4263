package org.jacinthlink.decision.paths

/**
 * How long something is left alone that was tried in vain; each further try in vain doubles it.
 *
 * Load patterns: a server gives layers up for a holder of the duty that has ended, and turns
 * requests away for seconds while its reports still show the layers; all engines of a path are
 * slow, so that it looks silent again and again. Neither may use up the retry budget or the
 * servers' time.
 *
 * @property firstMs The first pause.
 * @property lastMs The longest pause, and the time without a try after which it is the first again.
 */
class ExponentialBackoff internal constructor(private val firstMs: Long, private val lastMs: Long) {
    private var nextMs = firstMs
    private var untilMs = Long.MIN_VALUE / 2

    /** True if it may be tried. */
    fun allowsAttempt(nowMs: Long): Boolean = nowMs >= untilMs

    /** Notes a try in vain; tries that were under way together count once. */
    fun recordFailure(nowMs: Long) {
        if (!allowsAttempt(nowMs)) return
        if (nowMs - untilMs > lastMs) nextMs = firstMs
        untilMs = nowMs + nextMs
        nextMs = (nextMs * 2).coerceAtMost(lastMs)
    }

    /** Notes a success. */
    fun reset() {
        nextMs = firstMs
    }
}

/** A pause that has not begun. */
fun exponentialBackoff(firstMs: Long, lastMs: Long): ExponentialBackoff = ExponentialBackoff(firstMs, lastMs)
