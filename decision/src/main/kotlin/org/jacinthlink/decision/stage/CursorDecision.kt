package org.jacinthlink.decision.stage

/** Decision of a stage on one item. [cursor] is the cursor after the decision. */
sealed interface CursorDecision {
    val cursor: StageCursor

    /** The item is taken, but for its first [skipCount] positions, which were taken before. */
    data class Accept(override val cursor: StageCursor, val skipCount: Int) : CursorDecision

    /** All positions of the item were taken before. */
    data class Duplicate(override val cursor: StageCursor) : CursorDecision

    /** Positions before the item are missing; the cursor holds the expected one. */
    data class Gap(override val cursor: StageCursor) : CursorDecision

    /** The item comes from a sender that has been replaced. */
    data class StaleEpoch(override val cursor: StageCursor) : CursorDecision
}
