package org.jacinthlink.router.state

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.fleet.ServerState

/**
 * Servers that have announced that they are draining, in a response or by their entry in the store.
 *
 * An announcement holds for the rest of the server's start, whatever its entry shows later: a
 * draining server may never update its entry, and the store may be unavailable, lag behind or
 * return from an older copy.
 */
internal class DrainAnnouncements {
    private val announcedAtMs = LinkedHashMap<ServerStart, Long>()
    private val listed = LinkedHashSet<ServerStart>()

    /** Records an announcement in a response of [server]. Returns false if it is already known. */
    fun record(server: ServerStart, nowMs: Long): Boolean {
        if (server in announcedAtMs) return false
        announcedAtMs[server] = nowMs
        if (announcedAtMs.size > MAX_COUNT) announcedAtMs.remove(announcedAtMs.keys.first())
        return true
    }

    /** Records the state in [server]'s entry, and returns the server as draining if it is. */
    fun applyToListed(server: BackendServer): BackendServer {
        if (server.state == ServerState.DRAINING) recordListed(server.start)
        return applyTo(server)
    }

    /** [server] as draining if it has announced so, otherwise unchanged. */
    fun applyTo(server: BackendServer): BackendServer {
        val isDraining = server.start in announcedAtMs || server.start in listed
        return if (isDraining) server.copy(state = ServerState.DRAINING) else server
    }

    private fun recordListed(server: ServerStart) {
        listed.add(server)
        if (listed.size > MAX_COUNT) listed.remove(listed.first())
    }

    /** Servers whose announcements in responses were recorded since [sinceMs]. */
    fun since(sinceMs: Long): List<ServerStart> =
        announcedAtMs.filterValues { it >= sinceMs }.keys.toList()

    private companion object {
        /** Several times the number of servers of a large fleet, so that only old ones are lost. */
        const val MAX_COUNT = 4_096
    }
}
