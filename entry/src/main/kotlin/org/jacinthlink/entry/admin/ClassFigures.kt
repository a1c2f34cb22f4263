package org.jacinthlink.entry.admin

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests of one class that ended in a period. Figures of several entries can be added.
 *
 * @property within Requests that were answered within their target.
 * @property late Requests that were answered after their target.
 * @property refused Requests that were refused, so that nothing ran.
 * @property failed Requests that broke after a part of them may have run.
 * @property firstAnswers Counts of answered requests by bucket of the time to the first token, or
 *   to the whole answer of a plain call.
 */
@Serializable
data class ClassFigures(
    val within: Long = 0,
    val late: Long = 0,
    val refused: Long = 0,
    val failed: Long = 0,
    @SerialName("first_answers") val firstAnswers: Map<Int, Long> = emptyMap()
) {
    /** Requests that ended. */
    val ended: Long get() = within + late + refused + failed

    /** Share of the ended requests that were answered within their target; null without any. */
    val withinShare: Double? get() = if (ended == 0L) null else within.toDouble() / ended

    operator fun plus(other: ClassFigures) =
        ClassFigures(
            within + other.within,
            late + other.late,
            refused + other.refused,
            failed + other.failed,
            (firstAnswers.keys + other.firstAnswers.keys).associateWith {
                firstAnswers.getOrDefault(it, 0) + other.firstAnswers.getOrDefault(it, 0)
            }
        )

    /** Quantile of the times to the answers, up to 5% too high; null without an answer. */
    fun firstAnswerMs(quantile: Double): Long? {
        if (firstAnswers.isEmpty()) return null
        val rank = ceil(quantile * firstAnswers.values.sum()).toLong().coerceAtLeast(1)
        var seen = 0L
        return firstAnswers.toSortedMap().entries
            .firstOrNull { (_, count) ->
                seen += count
                seen >= rank
            }?.let { upperBoundMs(it.key) }
    }
}

/** Figures of one request that was answered after [elapsedMs]. */
internal fun answeredFigures(elapsedMs: Long, targetMs: Long): ClassFigures {
    val counts = mapOf(bucketOf(elapsedMs) to 1L)
    return if (elapsedMs <= targetMs) {
        ClassFigures(within = 1, firstAnswers = counts)
    } else {
        ClassFigures(late = 1, firstAnswers = counts)
    }
}

private fun bucketOf(elapsedMs: Long) = (ln(elapsedMs + 1.0) / ln(BUCKET_RATIO)).toInt()

private fun upperBoundMs(bucket: Int): Long = (BUCKET_RATIO.pow(bucket + 1) - 1).toLong()

private const val BUCKET_RATIO = 1.05
