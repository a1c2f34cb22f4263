package org.jacinthlink.decision.stage

import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

/**
 * Selects the positions of each step of a stage, fairly between classes and workspaces.
 *
 * Each workspace of a class has a virtual time that grows by its positions divided by its weight.
 * The weight is the worth of the class divided by the number of its workspaces with waiting
 * streams. The workspace with the smallest virtual time is served next, so that work below its
 * share never waits behind work above its share. The virtual time of the scheduler follows the
 * smallest one of the workspaces with waiting streams. The virtual time of such a workspace lags
 * behind it by at most the equivalent of [MAX_CREDIT_POSITIONS], so that a workspace that was idle
 * cannot use the idle time for a long burst.
 *
 * Not thread-safe.
 */
class StepScheduler internal constructor(private var classes: Map<String, WorkClass>) {
    private val virtualTimes = HashMap<Account, Double>()
    private var virtualTime = 0.0
    private var pruneThreshold = MIN_PRUNE_THRESHOLD

    /** Applies the configured [classes]. */
    fun update(classes: Map<String, WorkClass>) {
        this.classes = classes
    }

    /**
     * Returns the positions of the next step, those of decoding streams first.
     *
     * @param waiting Streams with inputs, the longest-waiting one first.
     */
    fun select(waiting: List<StepCandidate>, bounds: StepBounds): List<StepShare> {
        if (waiting.isEmpty()) return emptyList()
        val queues = waiting.groupBy { Account(it.workClass, it.workspace) }
        val weights = weights(queues.keys)
        raiseToFloor(weights)
        val step = StepInProgress(bounds)
        val remaining = queues.mapValues { ArrayDeque(it.value) }.toMutableMap()
        while (remaining.isNotEmpty() && step.hasCapacity) {
            val account = remaining.keys.minBy { virtualTimes.getValue(it) }
            val queue = remaining.getValue(account)
            val taken = step.add(queue.removeFirst())
            virtualTimes.merge(account, taken / weights.getValue(account), Double::plus)
            if (queue.isEmpty()) remaining -= account
        }
        prune()
        return step.shares
    }

    private fun weights(accounts: Set<Account>): Map<Account, Double> {
        val workspaces = accounts.groupingBy { it.workClass }.eachCount()
        return accounts.associateWith {
            worthOf(it.workClass) / workspaces.getValue(it.workClass)
        }
    }

    private fun raiseToFloor(weights: Map<Account, Double>) {
        for ((account, weight) in weights) {
            val floor = virtualTime - MAX_CREDIT_POSITIONS / weight
            virtualTimes[account] = maxOf(virtualTimes[account] ?: virtualTime, floor)
        }
        virtualTime = maxOf(virtualTime, weights.keys.minOf { virtualTimes.getValue(it) })
    }

    // Drops the accounts that lag by at least the credit of a workspace that is alone in its class.
    // If such a workspace is alone when it has waiting streams again, its virtual time would be
    // raised anyway. A dropped account starts at the scheduler's virtual time, without credit.
    private fun prune() {
        if (virtualTimes.size <= pruneThreshold) return
        virtualTimes.entries.removeIf { (account, time) ->
            time <= virtualTime - MAX_CREDIT_POSITIONS / worthOf(account.workClass)
        }
        pruneThreshold = maxOf(MIN_PRUNE_THRESHOLD, 2 * virtualTimes.size)
    }

    private fun worthOf(name: String): Double =
        classes[name]?.worth?.coerceAtLeast(1)?.toDouble() ?: 1.0

    private data class Account(val workClass: String, val workspace: WorkspaceId)

    private class StepInProgress(private val bounds: StepBounds) {
        private val decoding = ArrayList<StepShare>()
        private val prefilling = ArrayList<StepShare>()
        private var prefillPositions = 0

        val shares: List<StepShare> get() = decoding + prefilling
        val hasCapacity: Boolean get() = remainingPositions > 0
        private val remainingPositions: Int
            get() = bounds.positions - decoding.size - prefillPositions

        /** Adds as many positions of [candidate] as the bounds allow, and returns their number. */
        fun add(candidate: StepCandidate): Int =
            if (candidate.isDecoding) decode(candidate) else prefill(candidate)

        private fun decode(candidate: StepCandidate): Int {
            if (decoding.size >= bounds.decodingStreams) return 0
            decoding += StepShare(candidate.stream, 1)
            return 1
        }

        private fun prefill(candidate: StepCandidate): Int {
            val limit = minOf(remainingPositions, bounds.prefillPositions - prefillPositions)
            val taken = minOf(limit, candidate.positions)
            if (taken <= 0) return 0
            prefilling += StepShare(candidate.stream, taken)
            prefillPositions += taken
            return taken
        }
    }

    private companion object {
        const val MAX_CREDIT_POSITIONS = 256.0
        const val MIN_PRUNE_THRESHOLD = 1_024
    }
}

/** Creates a scheduler without history. */
fun stepScheduler(classes: Map<String, WorkClass> = emptyMap()): StepScheduler =
    StepScheduler(classes)
