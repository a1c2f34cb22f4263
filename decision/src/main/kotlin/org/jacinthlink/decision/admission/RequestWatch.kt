package org.jacinthlink.decision.admission

/**
 * A request that has not been answered in time.
 *
 * @property id Id of the request, or null if it has none.
 * @property route Name of its route, or null if none was chosen.
 * @property ageMs Time since it was read.
 */
data class OverdueRequest<T>(val item: T, val id: String?, val route: String?, val ageMs: Long)

/**
 * The requests that have been read and not yet answered, whichever component holds them.
 *
 * Load pattern: under faults and changes of the configuration, a component drops a request that it
 * holds, for example because its handler fails or its queue is removed. The client would wait for
 * an answer that nobody sends.
 */
class RequestWatch<T> internal constructor(private val isOpen: (T) -> Boolean) {
    private val watched = LinkedHashMap<T, Watched>()

    /** Watches [item], unless it already is watched, and expects its outcome until [endsAtMs]. */
    fun begin(item: T, id: String?, nowMs: Long, endsAtMs: Long) {
        val request = watched.getOrPut(item) { Watched(id, nowMs) }
        request.endsAtMs = endsAtMs
        request.isLate = false
    }

    /** Records that the outcome of [item], which takes [route], is expected until [endsAtMs]. */
    fun routed(item: T, route: String, endsAtMs: Long) {
        val request = watched[item] ?: return
        request.route = route
        request.endsAtMs = endsAtMs
        request.isLate = false
    }

    /**
     * Ends the watch of the requests that have an outcome, and of those that are overdue, and
     * returns the latter. It is called periodically.
     *
     * A request is overdue some time after its deadline, so that its holder's own timer is first.
     * After a pause of the process that timer may run later than this call. So a request is overdue
     * only if an earlier call found it to be late.
     */
    fun takeOverdue(nowMs: Long): List<OverdueRequest<T>> {
        val overdue = mutableListOf<OverdueRequest<T>>()
        val entries = watched.entries.iterator()
        while (entries.hasNext()) {
            val (item, request) = entries.next()
            val wasLate = request.isLate
            request.isLate = nowMs >= request.endsAtMs
            val isOverdue = wasLate && nowMs >= request.endsAtMs + MARGIN_MS
            if (isOverdue && isOpen(item)) {
                val ageMs = nowMs - request.startedAtMs
                overdue.add(OverdueRequest(item, request.id, request.route, ageMs))
            }
            if (isOverdue || !isOpen(item)) entries.remove()
        }
        return overdue.toList()
    }

    /** Age of the oldest request without an outcome; 0 if there is none. */
    fun oldestAgeMs(nowMs: Long): Long =
        watched.entries.firstOrNull { isOpen(it.key) }?.let { nowMs - it.value.startedAtMs } ?: 0

    private class Watched(val id: String?, val startedAtMs: Long) {
        var route: String? = null
        var endsAtMs = 0L
        var isLate = false
    }

    private companion object {
        const val MARGIN_MS = 100L
    }
}

/**
 * Creates a watch without requests.
 *
 * @param isOpen True as long as a request has no outcome and its client waits for one.
 */
fun <T> requestWatch(isOpen: (T) -> Boolean): RequestWatch<T> = RequestWatch(isOpen)
