package org.jacinthlink.entry.chat

import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId
import org.jacinthlink.decision.quarantine.RunMode

/**
 * Asks the home of a content whether [requestId] may run (`POST /v1/permits/ask`).
 *
 * @property holder Entry that dispatches the request.
 * @property crashes Crashes of the content that the holder knows.
 */
@Serializable
internal data class PermitAsk(
    val fingerprint: String,
    val requestId: RequestId,
    val holder: InstanceId,
    val crashes: List<SeenCrash>
)

/**
 * Answer to a [PermitAsk].
 *
 * @property crashes Crashes that the home knows. An isolated run with a whole answer clears those
 *   that its holder knows, so both must know the same.
 */
@Serializable
internal data class PermitAnswer(val mode: RunMode, val crashes: List<SeenCrash>)

/** Asks the holder of [requestIds] which of them are open (`POST /v1/permits/runs`). */
@Serializable
internal data class RunsAsk(val fingerprint: String, val requestIds: List<RequestId>)

/**
 * Answer to a [RunsAsk].
 *
 * @property answered True if the content was answered in full and did not crash since.
 */
@Serializable
internal data class RunsAnswer(
    val open: List<RequestId>,
    val answered: Boolean,
    val crashes: List<SeenCrash>
)
