package org.jacinthlink.decision.retry

/**
 * Backend servers that one request has been sent to, against the number that may run it.
 *
 * Load patterns: a router that is cut off takes living servers as failed, one after the other; a
 * server's entry is removed while it goes on with its requests. Only servers that were silent or
 * broke off, and are registered no longer, are left out of the count.
 */
class AttemptBound internal constructor(private val maxServers: Int) {
    private val ranOn = mutableSetOf<String>()
    private val brokenOff = mutableSetOf<String>()

    /** Notes that the server at [address] may have run the request, and may have [brokenOff] it. */
    fun recordAttempt(address: String, brokenOff: Boolean) {
        ranOn.add(address)
        if (brokenOff) this.brokenOff.add(address) else this.brokenOff.remove(address)
    }

    /** True if the request may be sent to the server at [address]. */
    fun allows(address: String, isRegistered: (address: String) -> Boolean): Boolean =
        address in ranOn ||
            ranOn.count { it !in brokenOff || isRegistered(it) } < maxServers

    /** True if the request may leave the server at [present] for one that it has not run on. */
    fun allowsMoveFrom(present: String): Boolean = (ranOn + present).size < maxServers
}

/** The bound of a request that [maxServers] may run. */
fun attemptBound(maxServers: Int): AttemptBound = AttemptBound(maxServers)
