package org.jacinthlink.decision.dispatch

/** What is known of one attempt of a request. */
enum class AttemptOutcome {
    /** No byte reached the receiver, or the receiver refused before any execution. */
    NOT_RUN,

    /** The attempt was sent and nothing certain is known of it. */
    UNKNOWN,

    /** The attempt was executed, at least in part. */
    RAN
}
