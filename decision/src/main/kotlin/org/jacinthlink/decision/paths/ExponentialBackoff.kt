package org.jacinthlink.decision.paths

/**
 * The delay before a failed operation is retried; each further failure doubles the delay.
 *
 * Load patterns: a server releases layers on the order of a leader that has ended, and rejects
 * requests for seconds while its reports still list the layers; or all engines of a path are slow,
 * so that the path repeatedly counts as stalled. Neither case may use up the retry budget or the
 * servers' time.
 *
 * @property initialMs Initial delay.
 * @property maxMs Maximum delay. If a delay has ended and no failure follows for longer than
 *   [maxMs], the next delay is [initialMs] again.
 */
class ExponentialBackoff internal constructor(
    private val initialMs: Long,
    private val maxMs: Long
) {
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

    /** Records a success. A delay in progress continues; the next one is [initialMs] again. */
    fun reset() {
        nextMs = initialMs
    }
}

/** Creates a backoff that allows an attempt at once. */
fun exponentialBackoff(initialMs: Long, maxMs: Long): ExponentialBackoff =
    ExponentialBackoff(initialMs, maxMs)
