package org.jacinthlink.decision.retry

/**
 * Limits the number of backend servers that may run one request.
 *
 * Load patterns: a router that is isolated by a network partition treats live servers as failed,
 * one after the other; or the registry entry of a server is removed while the server continues with
 * its requests, and breaks some of them off because another server of their path has ended. A
 * server is left out of the count only if it was unresponsive or broke off the response, and has
 * ended since.
 */
class AttemptBound internal constructor(
    private val maxServers: Int,
    ranOn: Set<String> = emptySet(),
    interrupted: Set<String> = emptySet()
) {
    private val ranOn = ranOn.toMutableSet()
    private val interrupted = interrupted.toMutableSet()

    /**
     * Records that the server at [address] may have run the request.
     *
     * @param interrupted True if the attempt ended because the server was unresponsive or broke off
     *   the response.
     */
    fun recordAttempt(address: String, interrupted: Boolean) {
        ranOn.add(address)
        if (interrupted) this.interrupted.add(address) else this.interrupted.remove(address)
    }

    /**
     * True if the request may be sent to the server at [address].
     *
     * @param hasEnded True if a server no longer runs. It must be false if that is uncertain.
     */
    fun allows(address: String, hasEnded: (address: String) -> Boolean): Boolean =
        address in ranOn || ranOn.count { it !in interrupted || !hasEnded(it) } < maxServers

    /** This bound as if the open attempts at [addresses] ended because these are unresponsive. */
    fun ifInterruptedAt(addresses: Collection<String>): AttemptBound =
        AttemptBound(maxServers, ranOn, interrupted).also { next ->
            addresses.forEach { next.recordAttempt(it, interrupted = true) }
        }

    /** True if a request that is open at [current] may move to a server that has not run it. */
    fun allowsMoveFrom(current: Collection<String>): Boolean = (ranOn + current).size < maxServers
}

/** Creates the bound of a request that at most [maxServers] servers may run. */
fun attemptBound(maxServers: Int): AttemptBound = AttemptBound(maxServers)
