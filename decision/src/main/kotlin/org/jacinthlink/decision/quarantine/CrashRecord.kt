package org.jacinthlink.decision.quarantine

/**
 * A crash of a backend server.
 *
 * @property isolated True if the request ran alone, so that it caused the crash.
 */
data class CrashRecord(val id: String, val atMs: Long, val isolated: Boolean)
