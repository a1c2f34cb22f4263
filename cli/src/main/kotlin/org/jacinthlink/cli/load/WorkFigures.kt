package org.jacinthlink.cli.load

import kotlinx.serialization.Serializable

/**
 * Figures of a class or a workspace. All times are counted from the scheduled send.
 *
 * @property answered Whole answers, wrong ones included.
 * @property wrong Answers that differ from the reference answer, where it is known.
 * @property withinTarget Whole, right answers within the target of their class.
 * @property withinTargetShare [withinTarget] as a share of [sent].
 * @property timeToFirstTokenMs Of answered requests; for plain calls the whole answer.
 */
@Serializable
data class WorkFigures(
    val sent: Int,
    val answered: Int,
    val refusedNotRun: Int,
    val failed: Int,
    val unknown: Int,
    val notSent: Int,
    val wrong: Int,
    val withinTarget: Int,
    val withinTargetShare: Double,
    val timeToFirstTokenMs: Percentiles,
    val wholeAnswerMs: Percentiles,
    val tokenGapMs: Percentiles
)
