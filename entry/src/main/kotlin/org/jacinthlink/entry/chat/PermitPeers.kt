package org.jacinthlink.entry.chat

import kotlinx.serialization.KSerializer
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.Role
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.decision.quarantine.ContentRun
import org.jacinthlink.decision.routing.RendezvousHash
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult

/** Calls to other entries on the runs of a content. */
internal class PermitPeers(private val context: EntryContext) {
    /** The entry that permits the runs of [fingerprint]; all entries choose the same one. */
    fun homeOf(fingerprint: String): InstanceId {
        val others =
            context.membership.instances()
                .map { it.description }
                .filter { it.role == Role.ENTRY }
                .map { it.instance }
        val candidates =
            if (context.isDraining()) others - context.instance else others + context.instance
        return candidates.maxWithOrNull(
            compareBy({ RendezvousHash.weight(fingerprint, it) }, { it.value })
        ) ?: context.instance
    }

    /** Asks [home] whether a request may run; null if it does not say. */
    fun askPermit(home: InstanceId, ask: PermitAsk): PermitAnswer? {
        val body = ProtocolJson.encodeToString(PermitAsk.serializer(), ask)
        val result = call(home, ASK_PATH, body)
        if (result !is PeerResult.Answered) context.membership.reportUnreachable(home)
        return decode(result, PermitAnswer.serializer())
    }

    /** Asks [holder] which of [runs] of one content are open; null if it does not say. */
    fun askRuns(holder: InstanceId, runs: List<ContentRun>): RunsAnswer? {
        val ask = RunsAsk(runs.first().fingerprint, runs.map { it.requestId })
        val result = call(holder, RUNS_PATH, ProtocolJson.encodeToString(RunsAsk.serializer(), ask))
        // Heads cancel the streams of an entry that is gone.
        val isGone = result is PeerResult.NotSent
        return if (isGone) GONE else decode(result, RunsAnswer.serializer())
    }

    private fun call(entry: InstanceId, path: String, body: String): PeerResult {
        val address =
            context.membership.members()
                .firstOrNull { it.instance == entry }
                ?.known?.description?.address
                ?: return PeerResult.NotSent("entry $entry is not listed")
        return context.peerClient.call(PeerCall("POST", "http://$address$path", body), TIMEOUT_MS)
    }

    private fun <T> decode(result: PeerResult, serializer: KSerializer<T>): T? =
        (result as? PeerResult.Answered)
            ?.takeIf { it.isSuccess }
            ?.let { ProtocolJson.decodeOrNull(serializer, it.body) }

    private companion object {
        // A request waits for the answer; a pause of the JVM takes up to about 200 ms.
        const val TIMEOUT_MS = 300L

        val GONE = RunsAnswer(emptyList(), answered = false, crashes = emptyList())
    }
}
