package org.jacinthlink.router.relay

import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.retry.MoveReason
import org.jacinthlink.decision.retry.isSettledByEvent

/**
 * The open attempts of a streamed request: one at most that serves the caller, and during a move a
 * successor.
 *
 * The current attempt is given up only once its successor has delivered an event. So a successor
 * that is rejected, fails or falls silent costs the caller nothing.
 */
internal class StreamHandover {
    private var moveReason: MoveReason? = null

    /** The attempt that serves the caller, or null if there is none. */
    var current: StreamAttempt? = null
        private set

    /** The attempt that is to replace [current] and has not answered yet, or null. */
    var successor: StreamAttempt? = null
        private set

    /** Why [successor] is to replace [current], or null if there is no successor. */
    val reason: MoveReason? get() = moveReason.takeIf { successor != null }

    /** All open attempts. */
    val attempts: List<StreamAttempt> get() = listOfNotNull(current, successor)

    /** The attempt that was started last, or null. */
    val newest: StreamAttempt? get() = successor ?: current

    /** Paths of the open attempts, the newest last. */
    val paths: List<ServingPath> get() = attempts.map { it.path }

    /** True if there is no open attempt. */
    val isEmpty: Boolean get() = current == null

    /** Adds the first attempt after [isEmpty] was true. */
    fun begin(attempt: StreamAttempt) {
        check(isEmpty) { "the current attempt is replaced only by its successor" }
        current = attempt
    }

    /** Adds an attempt that is to replace the current one because of [reason]. */
    fun beginMove(attempt: StreamAttempt, reason: MoveReason) {
        check(successor == null) { "there is a successor already" }
        successor = attempt
        moveReason = reason
    }

    operator fun contains(attempt: StreamAttempt): Boolean =
        attempt === current || attempt === successor

    /**
     * Records an event of [attempt], and returns the attempt that is needless from now on, or null.
     *
     * @param maxLagMs Time by which a successor may be behind the current attempt.
     * @param mayMoveAgain False if there would be no other successor should the current attempt
     *   fall silent again.
     */
    fun answered(
        attempt: StreamAttempt,
        maxLagMs: Long,
        mayMoveAgain: Boolean
    ): StreamAttempt? {
        val working = current
        val next = successor
        return when {
            working == null || next == null -> null
            attempt === working ->
                next.takeIf { mayMoveAgain && moveReason?.isSettledByEvent() == true }
            // The caller would wait while the successor repeats events that it already has.
            working.lastActivityAtMs - next.startedAtMs > maxLagMs -> next
            else -> working.also { swap() }
        }
    }

    private fun swap() {
        val replaced = current
        current = successor
        successor = replaced
    }

    /**
     * Removes [attempt], which has ended; a successor then takes the place of the current attempt.
     * Returns false if it had been removed before.
     */
    fun remove(attempt: StreamAttempt): Boolean {
        if (attempt !in this) return false
        if (attempt === current) current = successor
        successor = null
        return true
    }
}
