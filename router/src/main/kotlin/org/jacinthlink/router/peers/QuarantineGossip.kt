@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoType
import org.jacinthlink.decision.fleet.ServerStart
import org.jacinthlink.decision.quarantine.ContentId
import org.jacinthlink.decision.quarantine.ContentQuarantine
import org.jacinthlink.decision.quarantine.HarmfulContent
import org.jacinthlink.decision.quarantine.RequestContent
import org.jacinthlink.decision.quarantine.ServerLoss
import org.jacinthlink.router.relay.MAX_PARTS

/**
 * Part of a gossip message about contents that may end backend servers. Contents are given as
 * hashes, and times as ages, because routers have different clocks.
 *
 * @property losses Servers that were recently lost.
 * @property begun Suspects of these losses that servers have begun to answer.
 * @property harmful Contents that the sender rejects.
 */
@Serializable
internal data class QuarantineGossip(
    @ProtoNumber(1) val losses: List<ReportedLoss> = emptyList(),
    @ProtoNumber(2) val begun: List<BegunContent> = emptyList(),
    @ProtoNumber(3) val harmful: List<RejectedContent> = emptyList()
) {
    /** True if all ages, durations and numbers of entries are within their ranges. */
    fun isValid(): Boolean =
        losses.size <= MAX_LOSSES &&
            losses.all { it.isValid() } &&
            begun.all { it.ageMs in AGES_MS } &&
            harmful.all { it.remainingMs in AGES_MS }
}

/** Loss of a server [ageMs] ago, before it had begun the requests of [suspects]. */
@Serializable
internal data class ReportedLoss(
    @ProtoNumber(1) val instanceId: String,
    @ProtoNumber(2) val bornAtMs: Long,
    @ProtoNumber(3) val ageMs: Long,
    @ProtoNumber(4) val suspects: List<ReportedSuspect>
) {
    internal fun isValid(): Boolean =
        ageMs in AGES_MS &&
            suspects.size <= MAX_SUSPECTS &&
            suspects.all { it.parts.size <= MAX_PARTS }
}

/** Hashes of a request and of the parts of its prompt. */
@Serializable
internal data class ReportedSuspect(
    @ProtoNumber(1) @ProtoType(ProtoIntegerType.FIXED) val whole: Long,
    @ProtoNumber(2) @ProtoType(ProtoIntegerType.FIXED) val parts: List<Long> = emptyList()
)

/** Content that a server began to answer [ageMs] ago. */
@Serializable
internal data class BegunContent(
    @ProtoNumber(1) @ProtoType(ProtoIntegerType.FIXED) val content: Long,
    @ProtoNumber(2) val ageMs: Long
)

/** Content that is rejected for another [remainingMs]. */
@Serializable
internal data class RejectedContent(
    @ProtoNumber(1) @ProtoType(ProtoIntegerType.FIXED) val content: Long,
    @ProtoNumber(2) val remainingMs: Long
)

/** What the peers are to know of this quarantine, or null if there is nothing. */
internal fun ContentQuarantine.toGossip(nowMs: Long): QuarantineGossip? {
    val sinceMs = nowMs - LOSS_AGE_MS
    val message =
        QuarantineGossip(
            lossesSince(sinceMs).takeLast(MAX_LOSSES).map { it.toReport(nowMs) },
            begunSuspects(sinceMs).map { (id, atMs) -> BegunContent(id.hash, nowMs - atMs) }
                .take(MAX_BEGUN),
            harmful(nowMs).map { RejectedContent(it.id.hash, it.untilMs - nowMs) }.take(MAX_HARMFUL)
        )
    return message.takeIf { it != QuarantineGossip() }
}

/** Adds what a peer has sent in [message]. */
internal fun ContentQuarantine.apply(message: QuarantineGossip, nowMs: Long) {
    message.losses.forEach { recordLoss(it.toLoss(nowMs)) }
    message.begun.forEach { recordBegun(ContentId(it.content), nowMs - it.ageMs) }
    message.harmful.forEach {
        recordReported(HarmfulContent(ContentId(it.content), nowMs + it.remainingMs))
    }
}

private fun ServerLoss.toReport(nowMs: Long): ReportedLoss {
    val reported =
        suspects.take(MAX_SUSPECTS).map { suspect ->
            ReportedSuspect(suspect.whole.hash, suspect.parts.map { it.hash })
        }
    return ReportedLoss(server.instanceId, server.bornAtMs, nowMs - atMs, reported)
}

private fun ReportedLoss.toLoss(nowMs: Long): ServerLoss {
    val contents =
        suspects.map { RequestContent(ContentId(it.whole), it.parts.map(::ContentId)) }
    return ServerLoss(ServerStart(instanceId, bornAtMs), nowMs - ageMs, contents.toSet())
}

/** Losses within this time are sent to the peers. */
private const val LOSS_AGE_MS = 3_000L

/** Bounds of a message, so that it fits into a datagram of a few kilobytes. */
private const val MAX_LOSSES = 8
private const val MAX_SUSPECTS = 12
private const val MAX_BEGUN = 64
private const val MAX_HARMFUL = 32

private val AGES_MS = 0L..3_600_000L
