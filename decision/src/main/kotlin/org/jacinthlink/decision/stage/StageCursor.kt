package org.jacinthlink.decision.stage

/**
 * Progress of one stream at one stage.
 *
 * @property epoch Highest epoch received. Items of a lower epoch come from a replaced sender.
 * @property nextPosition First position that this stage has not accepted yet.
 */
data class StageCursor(val epoch: Int = 0, val nextPosition: Int = 0)

/**
 * Decides whether a stage accepts an item of [count] positions that starts at [firstPosition].
 *
 * An item of a higher epoch raises the epoch of the cursor whatever its positions are, so that
 * items of the replaced sender are refused from then on. A higher epoch does not reset
 * [StageCursor.nextPosition], because a new sender replays outputs that this stage has already
 * received.
 */
fun decideItem(
    cursor: StageCursor,
    epoch: Int,
    firstPosition: Int,
    count: Int
): CursorDecision {
    if (epoch < cursor.epoch) return CursorDecision.StaleEpoch(cursor)
    val raised = cursor.copy(epoch = epoch)
    val end = firstPosition.toLong() + count
    return when {
        firstPosition < 0 || count < 0 || end > Int.MAX_VALUE -> CursorDecision.Gap(raised)
        firstPosition > cursor.nextPosition -> CursorDecision.Gap(raised)
        end <= cursor.nextPosition -> CursorDecision.Duplicate(raised)
        else ->
            CursorDecision.Accept(
                raised.copy(nextPosition = end.toInt()),
                skipCount = cursor.nextPosition - firstPosition
            )
    }
}
