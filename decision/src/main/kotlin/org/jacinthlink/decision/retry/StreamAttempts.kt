package org.jacinthlink.decision.retry

/**
 * Counts the attempts of one streamed request, and decides whether there may be another.
 *
 * Load pattern: servers fail or reject one after the other while a stream is in progress. A stream
 * that makes progress may go on, one that only meets rejections gives up.
 *
 * @property mayRunAgain True if the request may run more than once.
 */
class StreamAttempts(val mayRunAgain: Boolean) {
    /** Attempts that are running or may have run. */
    private var possibleRuns = 0

    /** Attempts since the last event that no server has run. */
    private var unrun = 0

    /** Number of attempts so far. */
    var count = 0
        private set

    /** True if a server has run the request or may have run it. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** True if another attempt would probably be rejected as well. */
    val isRejectedTooOften: Boolean get() = unrun >= MAX_UNRUN

    /** True if there may be another attempt. */
    val mayRetry: Boolean get() = mayRunAgain && possibleRuns < MAX_RUNS && !isRejectedTooOften

    /** Records that an attempt is sent. */
    fun sent() {
        count++
        possibleRuns++
    }

    /** Records that no server has run the last attempt. */
    fun notRun() {
        possibleRuns--
        unrun++
    }

    /** Records that an event has been forwarded to the caller. */
    fun progressed() {
        unrun = 0
    }

    private companion object {
        const val MAX_RUNS = 6
        const val MAX_UNRUN = 6
    }
}
