package org.jacinthlink.decision.quarantine

import org.jacinthlink.decision.fleet.ServerStart

/**
 * The unexpected end of a backend server, or its silence.
 *
 * @property suspects Contents of the requests that the server had not begun to answer. It may have
 *   ended because it began one of them.
 */
data class ServerLoss(val server: ServerStart, val atMs: Long, val suspects: Set<RequestContent>) {
    /** Ids of all suspects, each once. */
    val suspectIds: Set<ContentId> get() = suspects.flatMap { it.ids }.toSet()
}
