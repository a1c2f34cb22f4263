package org.jacinthlink.decision.limits

/** What a response of a backend server says about the rate of requests that the server takes. */
sealed interface RateLimitNotice {
    /** The server takes [requestsPerS] requests a second from all routers together. */
    data class Limited(val requestsPerS: Double) : RateLimitNotice

    /** The server names no limit. */
    data object Unlimited : RateLimitNotice

    /** The response shows nothing about the server's limit. */
    data object Unknown : RateLimitNotice
}

/** A [notice] in a response that a server sent at [atMs], on the monotonic clock of this router. */
data class TimedNotice(val notice: RateLimitNotice, val atMs: Long)
