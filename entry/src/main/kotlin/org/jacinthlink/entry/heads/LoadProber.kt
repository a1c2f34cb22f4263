package org.jacinthlink.entry.heads

import java.util.concurrent.ConcurrentHashMap
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.tryExecute
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult

/** Asks heads for their load beside the requests, so that no request waits for a probe. */
internal class LoadProber(private val context: EntryContext, private val directory: HeadDirectory) {
    private val probed = ConcurrentHashMap.newKeySet<InstanceId>()

    /** Probes the heads whose reports are the oldest, unless these are recent enough. */
    fun probeOldest(heads: List<FlowStage>, nowMs: Long) =
        heads
            .map { it to directory.loads[it.instance].reportedAtMs }
            .filter { (head, reportedAtMs) ->
                nowMs - reportedAtMs > REUSED_FOR_MS && head.instance !in probed
            }
            .sortedBy { it.second }
            .take(MAX_PROBES)
            .forEach { probe(it.first, fresh = false) }

    /** Probes [head] on a fresh connection and excludes it if it does not answer. */
    fun verify(head: FlowStage) = probe(head, fresh = true)

    private fun probe(head: FlowStage, fresh: Boolean) {
        if (!probed.add(head.instance) && !fresh) return
        val queued =
            context.background.tryExecute {
                try {
                    ask(head, fresh)
                } finally {
                    probed -= head.instance
                }
            }
        if (!queued) probed -= head.instance
    }

    private fun ask(head: FlowStage, fresh: Boolean) {
        val call = PeerCall("GET", "http://${head.address}/v1/load")
        when (val result = context.peerClient.call(call, TIMEOUT_MS, fresh)) {
            is PeerResult.Answered -> if (result.isSuccess) reported(head, result.body)
            is PeerResult.NotSent -> context.membership.reportUnreachable(head.instance)
            is PeerResult.Unknown ->
                if (fresh) context.membership.reportUnreachable(head.instance)
        }
    }

    private fun reported(head: FlowStage, body: String) {
        val report = ProtocolJson.decodeOrNull(LoadReport.serializer(), body) ?: return
        directory.loads.reported(head.instance, report, context.clock.nowMs())
    }

    private companion object {
        const val MAX_PROBES = 2
        const val TIMEOUT_MS = 500L

        // At 12 requests a second and entry, this is about one probe for each request.
        const val REUSED_FOR_MS = 250L
    }
}
