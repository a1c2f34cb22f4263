package org.jacinthlink.decision.stage

/**
 * Decision of a stage about an item, which carries consecutive positions of a stream.
 *
 * @property cursor Cursor after the decision.
 */
sealed interface CursorDecision {
    val cursor: StageCursor

    /** The item is accepted except for its first [skipCount] positions, accepted earlier. */
    data class Accept(override val cursor: StageCursor, val skipCount: Int) : CursorDecision

    /** All positions of the item were accepted earlier. */
    data class Duplicate(override val cursor: StageCursor) : CursorDecision

    /**
     * Positions before the item are missing, or its range of positions is invalid. The cursor holds
     * the expected position.
     */
    data class Gap(override val cursor: StageCursor) : CursorDecision

    /** The item comes from a sender that has been replaced. */
    data class StaleEpoch(override val cursor: StageCursor) : CursorDecision
}
