package org.jacinthlink.decision.quarantine

/** Hash of a part of a prompt, or of a whole request. */
@JvmInline
value class ContentId(val hash: Long) {
    /** The hash in hexadecimal. */
    override fun toString(): String = hash.toULong().toString(RADIX)

    private companion object {
        const val RADIX = 16
    }
}

/**
 * What a request consists of, as far as other requests may consist of the same.
 *
 * @property whole Path, caller, prompt and body together.
 * @property parts Parts of the prompt that other requests may share, in the order of the prompt.
 */
data class RequestContent(val whole: ContentId, val parts: List<ContentId>) {
    /** All ids of the content. */
    val ids: List<ContentId> get() = parts + whole
}
