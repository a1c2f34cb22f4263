package org.jacinthlink.decision.retry

/** Why a streamed request should continue over another path although its attempt has not ended. */
sealed interface MoveReason {
    /** A server of the path is draining and will end. */
    data object ServerLeaves : MoveReason

    /** A server of the path does not answer. It may be dead, or silent for a moment. */
    data object ServerSilent : MoveReason

    /** The path has not delivered its first event in time. */
    data object SlowToBegin : MoveReason
}

/**
 * True if a move for this reason is needless once the attempt that it would replace delivers an
 * event.
 *
 * Load pattern: a sound server is silent for a second and goes on while its successor still reads
 * the prompt.
 */
fun MoveReason.isSettledByEvent(): Boolean =
    when (this) {
        MoveReason.ServerLeaves -> false
        MoveReason.ServerSilent, MoveReason.SlowToBegin -> true
    }
