package org.jacinthlink.decision.quarantine

/** How a request may run, given the crashes and the open runs of its fingerprint. */
enum class RunMode {
    NORMAL,

    /** Alone in its batch, so that only this request can cause the next crash. */
    ISOLATED,

    /**
     * Not yet: if each open run crashes a backend server, the content reaches the number of crashes
     * at which it is refused.
     */
    WAITING,

    REFUSED
}
