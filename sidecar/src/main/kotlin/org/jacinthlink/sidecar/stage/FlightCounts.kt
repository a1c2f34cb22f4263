package org.jacinthlink.sidecar.stage

/** Number of messages that are on their way to each address, bounded for each. */
internal class FlightCounts {
    private val countByAddress = HashMap<String, Int>()

    /** Counts one more message to [address]. Returns false if there are too many already. */
    fun begin(address: String): Boolean {
        val count = countByAddress[address] ?: 0
        if (count >= MAX_IN_FLIGHT) return false
        countByAddress[address] = count + 1
        return true
    }

    /** Counts one message to [address] less. */
    fun end(address: String) {
        countByAddress.computeIfPresent(address) { _, count -> if (count > 1) count - 1 else null }
    }

    private companion object {
        const val MAX_IN_FLIGHT = 2
    }
}
