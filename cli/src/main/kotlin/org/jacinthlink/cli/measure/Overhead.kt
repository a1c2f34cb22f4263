package org.jacinthlink.cli.measure

import kotlin.math.round
import kotlinx.serialization.Serializable
import org.jacinthlink.cli.load.Percentiles
import org.jacinthlink.cli.load.percentiles

/**
 * Times of the same work through an entry and directly at the backend servers.
 *
 * @property addedP50Ms Difference of the medians; it is negative if the entry was faster.
 * @property addedP95Ms Difference of the 95th percentiles, which need not be of the same requests.
 */
@Serializable
internal data class Overhead(
    val throughEntryMs: Percentiles,
    val directMs: Percentiles,
    val addedP50Ms: Double,
    val addedP95Ms: Double
)

/** Compares times in microseconds. */
internal fun overhead(throughEntryUs: List<Long>, directUs: List<Long>): Overhead {
    val throughEntry = percentiles(throughEntryUs)
    val direct = percentiles(directUs)
    return Overhead(
        throughEntry,
        direct,
        wholeMicros(throughEntry.p50 - direct.p50),
        wholeMicros(throughEntry.p95 - direct.p95)
    )
}

private fun wholeMicros(ms: Double) = round(ms * MICROS_PER_MS) / MICROS_PER_MS

private const val MICROS_PER_MS = 1_000.0
