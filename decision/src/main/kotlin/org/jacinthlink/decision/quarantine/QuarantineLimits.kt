package org.jacinthlink.decision.quarantine

/**
 * Limits of [ContentQuarantine].
 *
 * @property partLosses Servers that a part must have ended before it is rejected.
 * @property partRequests Different requests with the part that must have been among the suspects.
 * @property begunPartLosses As [partLosses], for a part that servers have begun to answer before.
 * @property begunPartRequests As [partRequests], for such a part.
 * @property begunPartQuietMs Time since such a part was last begun, in which others were begun.
 * @property wholeLosses Servers that a whole request must have ended before it is rejected.
 * @property soleWholeLosses The same if it was the only suspect each time.
 * @property momentMs Servers that are lost within this time of each other count as one loss.
 * @property retentionMs Time for which losses and rejections are kept.
 * @property maxLosses Largest number of losses that are kept.
 * @property maxSuspects Largest number of suspects of one loss.
 * @property maxBegun Largest number of contents of which it is kept that they were begun.
 */
data class QuarantineLimits(
    val partLosses: Int = 3,
    val partRequests: Int = 2,
    val begunPartLosses: Int = 5,
    val begunPartRequests: Int = 3,
    val begunPartQuietMs: Long = 2_000,
    val wholeLosses: Int = 3,
    val soleWholeLosses: Int = 2,
    val momentMs: Long = 50,
    val retentionMs: Long = 600_000,
    val maxLosses: Int = 32,
    val maxSuspects: Int = 32,
    val maxBegun: Int = 4_096
)
