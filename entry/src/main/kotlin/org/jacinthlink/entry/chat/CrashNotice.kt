package org.jacinthlink.entry.chat

import java.util.UUID
import kotlinx.serialization.Serializable

/** Tells another entry of crashes of backend servers. */
@Serializable
internal data class CrashNotice(val crashes: List<SeenCrash>)

/**
 * A crash of a backend server that ran a request with [fingerprint].
 *
 * @property isolated True if the request ran without others, so that the crash is due to it.
 * @property crashId Identifies the crash, which several streams and entries may report.
 * @property cleared True if the request was answered alone since, so that it was not the cause.
 * @property parts Hashes of the messages that the request shares with others, if it had no token.
 */
@Serializable
internal data class SeenCrash(
    val fingerprint: String,
    val isolated: Boolean,
    val crashId: String = UUID.randomUUID().toString(),
    val cleared: Boolean = false,
    val parts: List<String> = emptyList()
)
