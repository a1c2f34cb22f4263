package org.jacinthlink.sidecar.calls

import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.ResultCode
import org.jacinthlink.decision.claims.Claim
import org.jacinthlink.decision.claims.ClaimState
import org.jacinthlink.decision.claims.RecordedResult

internal fun refused(code: ResultCode, message: String) = CallAnswer.Refused(code, message)

internal fun keyReused() =
    refused(ResultCode.IDEMPOTENCY_KEY_REUSED, "the key belongs to a call with another content")

internal fun cancelled() =
    refused(ResultCode.CANCELLED_BEFORE_RUN, "the call was cancelled before it ran")

internal fun replayed(result: RecordedResult?): CallAnswer =
    if (result == null) {
        CallAnswer.Unknown("the call ran or may have run, and its result is not recorded")
    } else {
        CallAnswer.Executed(result.status, result.headers, result.body, replayed = true)
    }

/** Answer by a claim in a final state; null if the claim may still change. */
internal fun finalAnswer(claim: Claim, bodyHash: String): CallAnswer? =
    when {
        claim.bodyHash != bodyHash -> keyReused()
        claim.state == ClaimState.DONE -> replayed(claim.result)
        claim.state == ClaimState.CANCELLED -> cancelled()
        else -> null
    }
