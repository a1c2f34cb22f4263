package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Class of work with its targets. Operators configure only these values.
 *
 * @property targetMs Time within which the first token of a stream, or the whole answer of a plain
 *   call, is due.
 * @property tokenGapMs Longest time between two tokens of a stream that the class tolerates.
 * @property worth Importance relative to the other classes; capacity is shared in this proportion.
 */
@Serializable
data class WorkClass(
    val name: String,
    val targetMs: Long,
    val tokenGapMs: Long = DEFAULT_TOKEN_GAP_MS,
    val worth: Int
) {
    companion object {
        const val DEFAULT_TOKEN_GAP_MS = 35L
    }
}
