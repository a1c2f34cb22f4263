package org.jacinthlink.cli.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of a set of times; all are 0 if [count] is. */
@Serializable
data class Percentiles(
    val count: Long,
    val mean: Double,
    val p50: Double,
    val p90: Double,
    val p95: Double,
    val p99: Double,
    val max: Double
)

/** Percentiles in milliseconds of a histogram in microseconds. */
internal fun percentilesMs(histogramUs: Histogram): Percentiles {
    fun at(percentile: Double) =
        histogramUs.getValueAtPercentile(percentile) / MICROS_PER_MS
    return Percentiles(
        count = histogramUs.totalCount,
        mean = histogramUs.mean / MICROS_PER_MS,
        p50 = at(50.0),
        p90 = at(90.0),
        p95 = at(95.0),
        p99 = at(99.0),
        max = at(100.0)
    )
}

internal fun histogramUs() = Histogram(SIGNIFICANT_DIGITS)

private const val SIGNIFICANT_DIGITS = 3
private const val MICROS_PER_MS = 1_000.0
