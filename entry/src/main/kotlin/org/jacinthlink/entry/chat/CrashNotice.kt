package org.jacinthlink.entry.chat

import kotlinx.serialization.Serializable

/** Tells another entry of crashes of backend servers. */
@Serializable
internal data class CrashNotice(val crashes: List<SeenCrash>)

/**
 * A crash of a backend server that ran a request with [fingerprint].
 *
 * @property isolated True if the request ran without others, so that the crash is due to it.
 */
@Serializable
internal data class SeenCrash(val fingerprint: String, val isolated: Boolean)
