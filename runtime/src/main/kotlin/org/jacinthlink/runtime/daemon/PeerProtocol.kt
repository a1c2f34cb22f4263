package org.jacinthlink.runtime.daemon

import java.security.MessageDigest
import org.http4k.core.Request
import org.http4k.core.Response
import org.jacinthlink.api.Headers
import org.jacinthlink.api.InstanceId
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationSync
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.events.LogicalClock
import org.jacinthlink.runtime.http.headerValue
import org.jacinthlink.runtime.membership.Membership

/** Headers that the processes of the system add to their messages, and what they make of them. */
internal class PeerProtocol(
    peerToken: String,
    private val logicalClock: LogicalClock,
    private val clock: Clock,
    private val configuration: ConfigurationView
) {
    private val token = peerToken
    private val tokenBytes = peerToken.toByteArray()

    /** Headers of every call to a peer. */
    fun callHeaders(senderAddress: String?): Map<String, String> =
        buildMap {
            put(Headers.PEER_TOKEN, token)
            put(Headers.REVISION, configuration.current.revision.toString())
            put(Headers.CLOCK, logicalClock.tick(clock.nowMs()).toString())
            senderAddress?.let { put(Headers.SENDER, it) }
        }

    /** Adds the headers of every answer to a peer. */
    fun withAnswerHeaders(response: Response): Response =
        response
            .header(Headers.REVISION, configuration.current.revision.toString())
            .header(Headers.CLOCK, logicalClock.tick(clock.nowMs()).toString())

    /** True if [request] carries the token. The comparison takes the same time for any value. */
    fun isFromPeer(request: Request): Boolean =
        MessageDigest.isEqual(
            tokenBytes,
            request.header(Headers.PEER_TOKEN).orEmpty().toByteArray()
        )

    /** Learns from the headers of a call of a peer. */
    fun observe(request: Request, sync: ConfigurationSync) {
        observeClock(request.header(Headers.CLOCK))
        val sender = request.header(Headers.SENDER) ?: return
        observeRevision(sender, request.header(Headers.REVISION), sync)
    }

    /** Learns from the headers of the answer of the peer at [address]. */
    fun observe(
        address: String,
        headers: Map<String, String>,
        sync: ConfigurationSync,
        membership: Membership
    ) {
        observeClock(headers.headerValue(Headers.CLOCK))
        observeRevision(address, headers.headerValue(Headers.REVISION), sync)
        headers.headerValue(Headers.DRAINING)?.let { membership.reportDraining(InstanceId(it)) }
    }

    private fun observeClock(reading: String?) {
        reading?.toLongOrNull()?.let { logicalClock.observe(it, clock.nowMs()) }
    }

    private fun observeRevision(address: String, revision: String?, sync: ConfigurationSync) {
        revision?.toLongOrNull()?.let { sync.noticeRevision(address, it) }
    }
}
