package org.jacinthlink.decision.retry

/**
 * Counts the attempts of one streamed request, and decides whether there may be another.
 *
 * Load pattern: servers fail, fall silent or reject one after the other while a stream is in
 * progress. A request that has only met rejections gives up. A stream that has begun goes on,
 * because its caller would have to resume it, and a server that fell silent may be back soon.
 *
 * @param mayRunAgain True if the request may run more than once.
 */
class StreamAttempts(private val mayRunAgain: Boolean) {
    /** Attempts that are running or may have run. */
    private var possibleRuns = 0

    /** Attempts since the last event that no server has run. */
    private var unrun = 0

    /** True once an event has been forwarded to the caller. */
    var hasBegun = false
        private set

    /** Number of attempts so far. */
    var count = 0
        private set

    /** True if a server has run the request or may have run it. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** True if another attempt would probably be rejected as well. */
    val isRejectedTooOften: Boolean get() = !hasBegun && unrun >= MAX_UNRUN

    /** True if the stream has begun, and the last attempt was rejected. */
    val awaitsResumption: Boolean get() = hasBegun && unrun > 0

    /** True if there may be another attempt. */
    val mayRetry: Boolean get() = mayRunAgain && possibleRuns < MAX_RUNS && !isRejectedTooOften

    /** True if there may be another attempt while one is open; a lost stream needs some later. */
    val mayMove: Boolean get() = mayRetry && possibleRuns < MAX_RUNS - KEPT_RUNS

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
        hasBegun = true
        unrun = 0
    }

    private companion object {
        const val MAX_RUNS = 6

        /** Runs that are kept for when servers of the stream are lost. */
        const val KEPT_RUNS = 2
        const val MAX_UNRUN = 6
    }
}
