package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Headers
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.headerValue

/** Calls on the configuration endpoint of peers. */
internal class ConfigurationPeers(private val client: PeerClient) {
    /** Asks [address] for a document newer than [revision]. */
    fun pull(address: String, revision: Long): PulledConfiguration? {
        val url = "http://$address/v1/config?newer_than=$revision"
        val answer = answered(PeerCall("GET", url)) ?: return null
        val document = answer.body.takeIf { it.isNotEmpty() }?.let(::decodeConfiguration)
        val known = answer.headers.headerValue(Headers.REVISION)?.toLongOrNull()
        return PulledConfiguration(document?.revision ?: known ?: 0, document)
    }

    /** Asks [address] only for the revision that is in force on it; null if it does not answer. */
    fun revisionOf(address: String): Long? = pull(address, Long.MAX_VALUE)?.revision

    /** Sends [document] to [address]. */
    fun push(address: String, document: Configuration) {
        answered(
            PeerCall("POST", "http://$address/v1/config", encodeConfiguration(document))
        )
    }

    private fun answered(call: PeerCall): PeerResult.Answered? =
        try {
            (client.call(call, TIMEOUT_MS) as? PeerResult.Answered)?.takeIf { it.isSuccess }
        } catch (_: IllegalArgumentException) {
            // A listed address can be malformed.
            null
        }

    private companion object {
        const val TIMEOUT_MS = 500L
    }
}

/** Revision in force on a peer and, if it was newer than asked, its document. */
internal class PulledConfiguration(val revision: Long, val document: Configuration?)
