package org.jacinthlink.entry.chat

import java.util.concurrent.LinkedBlockingQueue
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.Role
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.tryExecute
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.membership.MemberState

/**
 * Tells all other entries of crashes, so that a caller who retries at another entry does not start
 * the count anew. Crashes of one batch share a notice.
 *
 * An entry that drains, or that could not be reached a moment ago, may still retry open streams.
 */
internal class CrashBroadcast(private val context: EntryContext) {
    private val waiting = LinkedBlockingQueue<SeenCrash>()

    fun start() = context.scope.repeat("crash-broadcast", { INTERVAL_MS }, ::send)

    fun add(crash: SeenCrash) {
        waiting += crash
    }

    private fun send() {
        val taken = mutableListOf(waiting.take())
        waiting.drainTo(taken, MAX_CRASHES - 1)
        val crashes = taken.distinct()
        val body =
            ProtocolJson.encodeToString(CrashNotice.serializer(), CrashNotice(crashes))
        context.membership.members().forEach { member ->
            val peer = member.known?.description
            if (peer?.role == Role.ENTRY && peer.instance != context.instance) {
                executorFor(member.state).tryExecute {
                    val call = PeerCall("POST", "http://${peer.address}$CRASHES_PATH", body)
                    context.peerClient.call(call, TIMEOUT_MS)
                }
            }
        }
    }

    private fun executorFor(state: MemberState) =
        if (state == MemberState.UNREACHABLE) context.cancels else context.background

    private companion object {
        const val INTERVAL_MS = 50L
        const val TIMEOUT_MS = 500L
        const val MAX_CRASHES = 1_000
    }
}

/** Path on which entries take a [CrashNotice] from other entries. */
internal const val CRASHES_PATH = "/v1/crashes"
