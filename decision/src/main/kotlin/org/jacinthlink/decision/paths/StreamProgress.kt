package org.jacinthlink.decision.paths

/**
 * Progress of a stream.
 *
 * @property events Number of events so far.
 * @property elapsedMs Time from the first event to the newest one.
 * @property expectedEvents Expected number of events in total.
 */
data class StreamProgress(val events: Int, val elapsedMs: Long, val expectedEvents: Int)

/** Expected time until a stream ends, at the pace that it has had so far. */
fun expectedRemainingMs(progress: StreamProgress): Long {
    val intervalMs =
        if (progress.events > 1) {
            progress.elapsedMs.toDouble() / (progress.events - 1)
        } else {
            USUAL_INTERVAL_MS
        }
    // A stream that is longer than expected goes on for an unknown time.
    val minRemaining = progress.expectedEvents * MIN_REMAINING_SHARE
    val remaining = maxOf(progress.expectedEvents.toDouble() - progress.events, minRemaining)
    return (remaining * intervalMs).toLong()
}

/**
 * True if a stream should leave a path through a draining server.
 *
 * Load pattern: servers are replaced one after the other while requests keep coming. Each move
 * reads a prompt again, pauses the stream beyond what is on time, and takes a retry of the budget
 * that streams of crashed servers need. Most streams end before a draining server does, so only
 * the others move.
 *
 * @param remainingMs Expected time until the stream ends.
 * @param drainingForMs Time since the server is known to be draining.
 * @param drainMs Time for which a draining server continues to serve.
 */
fun shouldLeaveDrainingServer(remainingMs: Long, drainingForMs: Long, drainMs: Long): Boolean =
    remainingMs > drainMs - drainingForMs - MOVE_MARGIN_MS

/** Time between two events on a path that is not full. */
private const val USUAL_INTERVAL_MS = 30.0

/** Least part of a stream that is taken to be left, whatever was expected. */
private const val MIN_REMAINING_SHARE = 0.1

/** Streams move one after the other, so the last ones need some time. */
private const val MOVE_MARGIN_MS = 500L
