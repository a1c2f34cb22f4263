package org.jacinthlink.decision.stage

/**
 * Place of one stream at one stage.
 *
 * @property epoch Highest epoch seen; items of a lower one come from a replaced stage.
 * @property nextPosition First position that this stage has not taken yet.
 */
data class StageCursor(val epoch: Int = 0, val nextPosition: Int = 0)

/**
 * Decides on an item of [count] positions from [firstPosition] on.
 *
 * An item of a higher epoch raises the epoch whatever its positions are, so that the replaced
 * sender is refused from then on. The taken positions are kept: a new sender replays outputs that
 * this stage has seen already.
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
