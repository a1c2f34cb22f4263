package org.jacinthlink.decision.claims

/** Change of the claim of [key], asked for by the attempt [nonce]. */
sealed interface ClaimOperation {
    val key: String
    val nonce: String

    /** Claims the execution, which must be over at [dueAtMs]. */
    data class Begin(
        override val key: String,
        val bodyHash: String,
        override val nonce: String,
        val dueAtMs: Long
    ) : ClaimOperation

    /** Records [result] of the execution; null if there is none that can be recorded. */
    data class Complete(
        override val key: String,
        val bodyHash: String,
        override val nonce: String,
        val result: RecordedResult?
    ) : ClaimOperation

    /** Forbids the execution, unless another attempt claimed it. */
    data class Cancel(override val key: String, val bodyHash: String, override val nonce: String) :
        ClaimOperation

    /**
     * Lets another attempt claim the call after one that did not execute and never will.
     *
     * The key stays bound to its call: the refusal of another call with the key is final.
     */
    data class Release(override val key: String, override val nonce: String) : ClaimOperation
}
