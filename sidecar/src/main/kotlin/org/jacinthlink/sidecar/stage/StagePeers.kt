package org.jacinthlink.sidecar.stage

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.jacinthlink.api.HopAck
import org.jacinthlink.api.HopBatch
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ReleaseStreams
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.RerouteAnswer
import org.jacinthlink.api.StageFault
import org.jacinthlink.api.StageProgress
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.SuspectReport
import org.jacinthlink.api.TokenBatch
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult

/**
 * Messages between sidecars. All of them may be repeated, so each is sent once more on a fresh
 * connection after a failure.
 */
internal class StagePeers(private val client: PeerClient, private val timeoutMs: Long) {
    fun sendHops(address: String, batch: HopBatch): PeerReply<HopAck> =
        post(address, StagePaths.HOPS, HopBatch.serializer(), batch, HopAck.serializer())

    /** Answers the streams that the head does not run. */
    fun sendTokens(address: String, batch: TokenBatch): PeerReply<ReleaseStreams> =
        post(
            address,
            StagePaths.TOKENS,
            TokenBatch.serializer(),
            batch,
            ReleaseStreams.serializer()
        )

    fun sendFault(address: String, fault: StageFault): PeerReply<ReleaseStreams> =
        post(
            address,
            StagePaths.FAULTS,
            StageFault.serializer(),
            fault,
            ReleaseStreams.serializer()
        )

    fun sendSuspects(address: String, report: SuspectReport): PeerReply<ReleaseStreams> =
        post(
            address,
            StagePaths.SUSPECTS,
            SuspectReport.serializer(),
            report,
            ReleaseStreams.serializer()
        )

    fun reroute(address: String, order: Reroute): PeerReply<RerouteAnswer> =
        post(
            address,
            StagePaths.REROUTE,
            Reroute.serializer(),
            order,
            RerouteAnswer.serializer()
        )

    fun release(address: String, streams: List<StreamKey>): PeerReply<ReleaseStreams> =
        post(
            address,
            StagePaths.RELEASE,
            ReleaseStreams.serializer(),
            ReleaseStreams(streams),
            ReleaseStreams.serializer()
        )

    /** Asks a stage for the progress of [streams]. Always takes a fresh connection. */
    fun progress(address: String, streams: List<StreamKey>): PeerReply<StageProgress> {
        val body =
            ProtocolJson.encodeToString(ReleaseStreams.serializer(), ReleaseStreams(streams))
        val call = PeerCall("POST", "http://$address${StagePaths.PROGRESS}", body)
        return decode(client.call(call, timeoutMs, fresh = true), StageProgress.serializer())
    }

    private fun <Q, A> post(
        address: String,
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
        answerSerializer: KSerializer<A>
    ): PeerReply<A> {
        val body = ProtocolJson.encodeToString(requestSerializer, request)
        val call = PeerCall("POST", "http://$address$path", body)
        val first = decode(client.call(call, timeoutMs), answerSerializer)
        if (first is PeerReply.Answered) return first
        return decode(client.call(call, timeoutMs, fresh = true), answerSerializer)
    }

    private fun <A> decode(result: PeerResult, serializer: KSerializer<A>): PeerReply<A> =
        when (result) {
            is PeerResult.NotSent -> PeerReply.Failed(result.message, isLost = true)
            is PeerResult.Unknown -> PeerReply.Failed(result.message)
            is PeerResult.Answered ->
                if (result.isSuccess) {
                    decodeBody(result.body, serializer)
                } else {
                    PeerReply.Failed("status ${result.status}")
                }
        }

    private fun <A> decodeBody(body: String, serializer: KSerializer<A>): PeerReply<A> =
        try {
            PeerReply.Answered(ProtocolJson.decodeBounded(serializer, body))
        } catch (e: SerializationException) {
            PeerReply.Failed("malformed answer: ${e.message}")
        }
}
