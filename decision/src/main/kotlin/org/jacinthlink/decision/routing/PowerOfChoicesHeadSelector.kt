package org.jacinthlink.decision.routing

import kotlin.math.ln
import kotlin.random.Random
import org.jacinthlink.api.InstanceId

/**
 * Selects the head with the shortest expected wait among a few random ones (power of d choices).
 *
 * The requests that this entry has sent since the latest report are added to the reported load, so
 * that an entry does not send all its requests to the head that last reported an empty queue. A
 * head in the entry's own availability zone is preferred if its wait is similar to the shortest.
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
        val maxSimilarWaitMs = waitMs(best, nowMs) * SIMILAR_FACTOR + SIMILAR_MS
        return sampled
            .filter { it.availabilityZone == ownZone && waitMs(it, nowMs) <= maxSimilarWaitMs }
            .minByOrNull { waitMs(it, nowMs) }
            ?: best
    }

    /**
     * Expected wait of a new request at [candidate], in ms. Without a recent report, it is
     * estimated from the requests of this entry in flight.
     */
    fun waitMs(candidate: HeadCandidate, nowMs: Long): Double {
        val perRequestMs = TOKENS_PER_REQUEST * 1_000 / candidate.tokensPerSecond.coerceAtLeast(1.0)
        val report =
            candidate.report?.takeIf { nowMs - candidate.reportedAtMs <= REPORT_LIFETIME_MS }
                ?: return candidate.inFlight * perRequestMs
        return report.expectedWaitMs +
            (report.runningStreams + candidate.sentSinceReport) * perRequestMs
    }

    // Weighted sampling without replacement (Efraimidis and Spirakis) in one pass. The weights make
    // samples of only slow heads unlikely.
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

    /**
     * Inserts [candidate] if its [key] is among the largest. [sampled] and [keys] stay in
     * descending order of the keys.
     */
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

        // Assumed remaining work of a request that runs or was sent after the latest report.
        const val TOKENS_PER_REQUEST = 32.0

        // Waits are similar if they differ by no more than the noise of load reports.
        const val SIMILAR_FACTOR = 1.25
        const val SIMILAR_MS = 5.0
    }
}

/** Creates the selector of an entry in availability zone [ownZone]. */
fun powerOfChoicesHeadSelector(
    ownZone: String
): PowerOfChoicesHeadSelector = PowerOfChoicesHeadSelector(ownZone)
