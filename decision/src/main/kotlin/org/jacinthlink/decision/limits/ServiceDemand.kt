package org.jacinthlink.decision.limits

/**
 * Counts the requests for each service that arrive at this router, whether or not they can be sent.
 *
 * Load pattern: clients are spread unevenly over the routers, and a router that refuses most of its
 * requests would seem to need little if only the requests that it has sent were counted.
 */
class ServiceDemand internal constructor() {
    private val arrivedAtMs = HashMap<String, ArrayDeque<Long>>()

    /** Records a request for [service]. */
    fun arrived(service: String, nowMs: Long) {
        val times = arrivedAtMs.getOrPut(service) { ArrayDeque() }
        times.addLast(nowMs)
        dropExpired(times, nowMs)
    }

    /** Number of requests for [service] within the last [ServerRateLimits.WINDOW_MS]. */
    fun count(service: String, nowMs: Long): Int {
        val times = arrivedAtMs[service] ?: return 0
        dropExpired(times, nowMs)
        return times.size
    }

    private fun dropExpired(times: ArrayDeque<Long>, nowMs: Long) {
        while (times.isNotEmpty() && times.first() <= nowMs - ServerRateLimits.WINDOW_MS) {
            times.removeFirst()
        }
    }
}

/** Creates a record without requests. */
fun serviceDemand(): ServiceDemand = ServiceDemand()
