package org.jacinthlink.decision.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.jacinthlink.api.ProtocolJson

/**
 * Claim on the execution of the call with [key].
 *
 * The serial names are short because many claims share one value of the key-value service, whose
 * size is limited.
 *
 * @property nonce Unique to the attempt that made the claim. Only that attempt executes the call.
 * @property dueAtMs Time by which the execution must end. If the claim has no result by then, the
 *   attempt that made it has failed.
 * @property expiresAtMs Time from which the claim may be dropped.
 * @property result Recorded result of a done claim; null if it was too large or was lost.
 */
@Serializable
data class Claim(
    @SerialName("k") val key: String,
    @SerialName("h") val bodyHash: String,
    @SerialName("n") val nonce: String,
    @SerialName("s") val state: ClaimState,
    @SerialName("c") val claimedAtMs: Long,
    @SerialName("d") val dueAtMs: Long,
    @SerialName("x") val expiresAtMs: Long,
    @SerialName("r") val result: RecordedResult? = null
) {
    /** Cached JSON: a bucket is written often and each write changes few of its claims. */
    internal val json: String by lazy { ProtocolJson.encodeToString(serializer(), this) }

    /**
     * Bytes of the bucket used by this claim. A claim in the state [ClaimState.CLAIMED] also
     * reserves space for its completion.
     */
    internal val sizeBytes: Int by lazy {
        json.encodeToByteArray().size + SEPARATOR_BYTES +
            if (state == ClaimState.CLAIMED) COMPLETION_RESERVE_BYTES else 0
    }

    private companion object {
        const val SEPARATOR_BYTES = 1
        const val COMPLETION_RESERVE_BYTES = 32
    }
}
