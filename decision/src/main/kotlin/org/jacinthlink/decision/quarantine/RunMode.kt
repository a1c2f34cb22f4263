package org.jacinthlink.decision.quarantine

/** How a request may run, judged by the crashes of its fingerprint. */
enum class RunMode {
    NORMAL,

    /** Alone in its batch, so that another crash can be due to this request only. */
    ISOLATED,

    REFUSED
}
