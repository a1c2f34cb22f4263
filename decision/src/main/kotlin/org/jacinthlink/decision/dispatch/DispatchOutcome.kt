package org.jacinthlink.decision.dispatch

/** What may be told to the caller about the execution of a request. */
enum class DispatchOutcome {
    /** Nothing ran and nothing can still run. */
    NOT_RUN,

    /** The request may have run or may still run. */
    UNKNOWN,

    /** The request ran. */
    RAN
}

/**
 * Combines the fates of all [attempts] of one request.
 *
 * @param cancelled True when a cancelled claim is recorded for the key of the request. An attempt
 *   of unknown fate finds that claim and does not run.
 */
fun dispatchOutcome(attempts: List<AttemptOutcome>, cancelled: Boolean): DispatchOutcome =
    when {
        AttemptOutcome.RAN in attempts -> DispatchOutcome.RAN
        cancelled -> DispatchOutcome.NOT_RUN
        AttemptOutcome.UNKNOWN in attempts -> DispatchOutcome.UNKNOWN
        else -> DispatchOutcome.NOT_RUN
    }
