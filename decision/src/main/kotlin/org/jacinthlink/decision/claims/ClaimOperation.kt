package org.jacinthlink.decision.claims

/** Change of the claim of [key], requested by the attempt with [nonce]. */
sealed interface ClaimOperation {
    val key: String
    val nonce: String

    /** Claims the execution, which must end by [dueAtMs]. */
    data class Begin(
        override val key: String,
        val bodyHash: String,
        override val nonce: String,
        val dueAtMs: Long
    ) : ClaimOperation

    /** Records the [result] of the execution; null if no result can be recorded. */
    data class Complete(
        override val key: String,
        val bodyHash: String,
        override val nonce: String,
        val result: RecordedResult?
    ) : ClaimOperation

    /** Prevents the execution, unless another attempt has claimed it. */
    data class Cancel(override val key: String, val bodyHash: String, override val nonce: String) :
        ClaimOperation

    /**
     * Allows another attempt to claim the call, which this attempt did not execute and never will.
     *
     * The key stays bound to its call, because the refusal of a different call with the same key is
     * final.
     */
    data class Release(override val key: String, override val nonce: String) : ClaimOperation
}
