package org.jacinthlink.decision.quarantine

/**
 * A crash of a backend server.
 *
 * @property isolated True if the request ran without others, so that the crash is due to it.
 */
data class CrashRecord(val id: String, val atMs: Long, val isolated: Boolean)
