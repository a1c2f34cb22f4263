package org.jacinthlink.cli.load

/** What became of one request of a load run. */
internal enum class RequestOutcome {
    /** The whole answer came. */
    ANSWERED,

    /** The answer promises that nothing ran. */
    REFUSED_NOT_RUN,

    /** An error or a broken stream. */
    FAILED,

    /** A plain call of which it is not known whether it ran. */
    UNKNOWN,

    /** The connection to the entry was refused. */
    NOT_SENT
}
