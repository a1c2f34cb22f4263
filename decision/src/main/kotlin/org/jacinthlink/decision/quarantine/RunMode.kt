package org.jacinthlink.decision.quarantine

/** How a request may run, judged by the crashes and the open runs of its fingerprint. */
enum class RunMode {
    NORMAL,

    /** Alone in its batch, so that another crash can be due to this request only. */
    ISOLATED,

    /** Not yet, because a crash of each open run would use up the crashes that are allowed. */
    WAITING,

    REFUSED
}
