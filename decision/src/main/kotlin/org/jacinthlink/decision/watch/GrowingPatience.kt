package org.jacinthlink.decision.watch

/**
 * How long to wait for an answer before another one is asked for.
 *
 * Load pattern: a small router that has just started reads a large configuration while it changes
 * often, so that each answer takes longer than usual. If it gave all of them up after the same
 * time, it would ask for the same again and fall behind for good.
 *
 * @param initialMs Time for the first answer; each one that is given up doubles the next time.
 * @param maxMs Longest time.
 */
class GrowingPatience internal constructor(private val initialMs: Long, private val maxMs: Long) {
    /** Time for the next answer. */
    var limitMs = initialMs
        private set

    /** Number of answers in a row that were given up. */
    var givenUpCount = 0
        private set

    /** Records that an answer did not arrive in time. */
    fun givenUp() {
        givenUpCount++
        limitMs = (limitMs * 2).coerceAtMost(maxMs)
    }

    /** Records that an answer has arrived. */
    fun answered() {
        givenUpCount = 0
        limitMs = initialMs
    }
}

/** Creates a patience that begins with [initialMs] and grows to [maxMs]. */
fun growingPatience(initialMs: Long, maxMs: Long): GrowingPatience =
    GrowingPatience(initialMs, maxMs)
