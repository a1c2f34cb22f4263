package org.jacinthlink.runtime.events

import org.jacinthlink.api.RequestId

/** Writes one log line of key=value pairs for each event and keeps the latest in memory. */
interface EventLog {
    /** Records an event. */
    fun record(name: String, requestId: RequestId? = null, vararg fields: Pair<String, Any?>)

    /** Latest events, oldest first; those of [requestId] only, if given. */
    fun recent(requestId: RequestId? = null): List<Event>
}
