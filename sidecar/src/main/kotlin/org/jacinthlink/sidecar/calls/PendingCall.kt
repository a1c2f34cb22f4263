package org.jacinthlink.sidecar.calls

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamKey
import org.jacinthlink.decision.claims.claimKey
import org.jacinthlink.decision.routing.QueuedRequest

/** One attempt of a call, from its arrival to its answer. */
internal class PendingCall(
    val request: CallRequest,
    val arrivedAtMs: Long,
    val deadlineMs: Long,
    val dueAtWallMs: Long,
    private val onAnswer: (CallAnswer) -> Unit
) {
    val claimKey: String? = request.idempotencyKey?.let { claimKey(request.workspace, it) }

    /** Time until which a claim is awaited. A call that waits for another attempt has longer. */
    val claimDeadlineMs: Long
        get() {
            val withinMs = request.claimWithinMs.takeUnless { hasMetHolder } ?: return deadlineMs
            return minOf(deadlineMs, arrivedAtMs + withinMs)
        }

    /** True once this attempt owns the claim of its key. */
    @Volatile
    var isClaimed = false

    /** Names this attempt in its claim; never used again. */
    val nonce: String = UUID.randomUUID().toString()

    /** True once another attempt was found to hold the claim. */
    @Volatile
    var hasMetHolder = false

    /** True if the holder is in another process, whose writes this one does not see. */
    @Volatile
    var needsFreshRead = false

    private val isAnswered = AtomicBoolean(false)

    val queued =
        QueuedRequest(
            id = StreamKey(RequestId(nonce), 0),
            workspace = request.workspace,
            workClass = request.workClass,
            costTokens = 1,
            enqueuedAtMs = arrivedAtMs,
            deadlineAtMs = deadlineMs
        )

    /** Sends [answer]; returns false if the call was answered before. */
    fun answer(answer: CallAnswer): Boolean {
        if (!isAnswered.compareAndSet(false, true)) return false
        try {
            onAnswer(answer)
        } catch (e: Exception) {
            logger.warn(e) { "event=call_answer_failed request_id=${request.requestId.value}" }
        }
        return true
    }

    /** Answer without an execution: a refusal, unless another attempt may have run the call. */
    fun answerUnserved(code: ResultCode, message: String) =
        answer(if (hasMetHolder) CallAnswer.InProgress else refused(code, message))

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
