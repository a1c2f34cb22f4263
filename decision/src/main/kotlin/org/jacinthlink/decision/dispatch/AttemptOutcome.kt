package org.jacinthlink.decision.dispatch

/** The known outcome of one attempt of a request. */
enum class AttemptOutcome {
    /** No byte reached the receiver, or the receiver refused the request before any execution. */
    NOT_RUN,

    /** The attempt was sent, and it is not certain whether it was executed. */
    UNKNOWN,

    /** The attempt was executed, at least in part. */
    RAN
}
