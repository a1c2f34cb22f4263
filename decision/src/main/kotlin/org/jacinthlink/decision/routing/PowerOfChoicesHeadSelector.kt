package org.jacinthlink.decision.routing

import kotlin.math.ln
import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/**
 * Picks the head with the least expected wait among a few random ones (power of d choices).
 *
 * The requests that this entry sent since the report count on top of it, so that an entry does not
 * send all its requests to the head that last reported an empty queue.
 */
class PowerOfChoicesHeadSelector internal constructor(private val ownZone: String) : HeadSelector {
    override fun choose(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        nowMs: Long,
        random: Random
    ): HeadCandidate? {
        val sampled = sample(candidates, excluded, random)
        val best = sampled.minByOrNull { waitMs(it, nowMs) } ?: return null
        val tolerableMs = waitMs(best, nowMs) * SIMILAR_FACTOR + SIMILAR_MS
        return sampled
            .filter { it.availabilityZone == ownZone && waitMs(it, nowMs) <= tolerableMs }
            .minByOrNull { waitMs(it, nowMs) }
            ?: best
    }

    /** Expected wait of a new request at [candidate]. */
    fun waitMs(candidate: HeadCandidate, nowMs: Long): Double {
        val perRequestMs = TOKENS_PER_REQUEST * 1_000 / candidate.tokensPerSecond.coerceAtLeast(1.0)
        val report =
            candidate.report?.takeIf { nowMs - candidate.reportedAtMs <= REPORT_LIFETIME_MS }
                ?: return candidate.inFlight * perRequestMs
        return report.expectedWaitMs +
            (report.runningStreams + candidate.sentSinceReport) * perRequestMs
    }

    // Weighted sampling without replacement (Efraimidis and Spirakis) in one pass. The weights keep
    // slow heads from being compared only with one another.
    private fun sample(
        candidates: Collection<HeadCandidate>,
        excluded: Set<InstanceId>,
        random: Random
    ): List<HeadCandidate> {
        val sampled = ArrayList<HeadCandidate>(SAMPLE_SIZE + 1)
        val keys = ArrayList<Double>(SAMPLE_SIZE + 1)
        for (candidate in candidates) {
            if (candidate.instance !in excluded) {
                val weight = candidate.tokensPerSecond.coerceAtLeast(1.0)
                insert(candidate, ln(1.0 - random.nextDouble()) / weight, sampled, keys)
            }
        }
        return sampled
    }

    /** Keeps [sampled] and its [keys] in falling order of the keys, with the largest ones only. */
    private fun insert(
        candidate: HeadCandidate,
        key: Double,
        sampled: MutableList<HeadCandidate>,
        keys: MutableList<Double>
    ) {
        if (keys.size == SAMPLE_SIZE && key <= keys.last()) return
        val position = keys.indexOfFirst { it < key }.let { if (it < 0) keys.size else it }
        keys.add(position, key)
        sampled.add(position, candidate)
        if (keys.size > SAMPLE_SIZE) {
            keys.removeAt(SAMPLE_SIZE)
            sampled.removeAt(SAMPLE_SIZE)
        }
    }

    private companion object {
        const val SAMPLE_SIZE = 3
        const val REPORT_LIFETIME_MS = 2_000L

        // Work that one request adds to a head until the next report tells more.
        const val TOKENS_PER_REQUEST = 32.0

        // Loads are similar when they differ by no more than the noise of a report.
        const val SIMILAR_FACTOR = 1.25
        const val SIMILAR_MS = 5.0
    }
}

/** Creates the choice rule of an entry in [ownZone]. */
fun powerOfChoicesHeadSelector(ownZone: String): PowerOfChoicesHeadSelector = PowerOfChoicesHeadSelector(ownZone)
