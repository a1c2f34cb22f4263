package org.jacinthlink.decision.paths

/**
 * The delay before something that has failed is tried again; each further failure doubles it.
 *
 * Load patterns: a server releases layers on the order of a leader that has ended, and rejects
 * requests for seconds while its reports still list the layers; or all engines of a path are slow,
 * so that the path repeatedly counts as stalled. Neither case may use up the retry budget or the
 * servers' time.
 *
 * @property initialMs Initial delay.
 * @property maxMs Maximum delay. A time without failures that is longer than this after the end of
 *   a delay resets the next delay to [initialMs].
 */
class ExponentialBackoff internal constructor(private val initialMs: Long, private val maxMs: Long) {
    private var nextMs = initialMs
    private var untilMs = Long.MIN_VALUE / 2

    /** True if an attempt is allowed. */
    fun allowsAttempt(nowMs: Long): Boolean = nowMs >= untilMs

    /** Records a failure; failures of attempts that were in progress together count once. */
    fun recordFailure(nowMs: Long) {
        if (!allowsAttempt(nowMs)) return
        if (nowMs - untilMs > maxMs) nextMs = initialMs
        untilMs = nowMs + nextMs
        nextMs = (nextMs * 2).coerceAtMost(maxMs)
    }

    /** Records a success. */
    fun reset() {
        nextMs = initialMs
    }
}

/** Creates a backoff that allows an attempt at once. */
fun exponentialBackoff(initialMs: Long, maxMs: Long): ExponentialBackoff = ExponentialBackoff(initialMs, maxMs)
