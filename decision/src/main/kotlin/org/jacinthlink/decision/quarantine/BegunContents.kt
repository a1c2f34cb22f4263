package org.jacinthlink.decision.quarantine

/**
 * When servers last began to answer each content.
 *
 * @property atMs Time of the latest beginning of each content.
 * @property newestAtMs Time of the latest beginning of any content, or null if there was none.
 */
data class BegunContents(val atMs: Map<ContentId, Long>, val newestAtMs: Long?) {
    /** True if [id] was begun after [timeMs]. */
    fun isBegunAfter(id: ContentId, timeMs: Long): Boolean = (atMs[id] ?: return false) > timeMs
}
