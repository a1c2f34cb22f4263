package org.jacinthlink.cli.measure

import kotlinx.serialization.Serializable

/**
 * What the system adds to each kind of work.
 *
 * @property firstTokenMs Time to the first token of a streamed chat.
 * @property tokenGapMs Time between two tokens of a streamed chat.
 * @property plainGetMs Time of a plain call without an idempotency key.
 * @property keyedPostMs Time of a plain call that runs at most once.
 */
@Serializable
internal data class OverheadReport(
    val plan: OverheadPlan,
    val firstTokenMs: Overhead,
    val tokenGapMs: Overhead,
    val plainGetMs: Overhead,
    val keyedPostMs: Overhead
)

/** Compares [throughEntry] with [direct]. */
internal fun overheadReport(
    plan: OverheadPlan,
    throughEntry: List<OverheadSample>,
    direct: List<OverheadSample>
): OverheadReport {
    fun compared(timesUs: (OverheadSample) -> List<Long>) =
        overhead(throughEntry.flatMap(timesUs), direct.flatMap(timesUs))
    return OverheadReport(
        plan,
        firstTokenMs = compared { listOf(it.firstTokenUs) },
        tokenGapMs = compared { it.tokenGapsUs },
        plainGetMs = compared { listOf(it.plainGetUs) },
        keyedPostMs = compared { listOf(it.keyedPostUs) }
    )
}
