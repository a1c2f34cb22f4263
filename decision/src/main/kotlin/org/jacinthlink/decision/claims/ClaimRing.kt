package org.jacinthlink.decision.claims

/**
 * Cached slices of a bucket, by slot of the key-value service.
 *
 * Generation `g` is stored in slot `g % slotCount`, where it replaces generation `g - slotCount`.
 * Only the newest slice changes, so a successful compare-and-swap of it shows that the cached
 * copies of the others are current.
 */
class ClaimRing private constructor(private val slots: Map<Int, VersionedSlice>) {
    private val slices: List<ClaimSlice> =
        slots.values.mapNotNull { it.slice }.sortedByDescending { it.generation }
    private val newest: ClaimSlice? = slices.firstOrNull()

    /** Number of claims, including expired claims of sealed slices. */
    val claimCount: Int get() = slices.sumOf { it.bucket.claims.size }

    /** Returns the latest state of the claim of [key]. */
    fun find(key: String): Claim? = slices.firstNotNullOfOrNull { it.bucket.claims[key] }

    /** Returns the claim of [key] unless it has expired. */
    fun find(key: String, nowMs: Long, limits: ClaimLimits): Claim? =
        find(key)?.takeIf { nowMs < it.expiresAtMs + limits.clockSkewMs }

    /** Returns the slot to read before the next commit; null if all relevant slices are cached. */
    fun slotToRead(nowMs: Long, limits: ClaimLimits): Int? {
        val newest = newest ?: return if (0 in slots) null else 0
        return newerSlot(newest, limits) ?: olderSlot(newest, nowMs, limits)
    }

    /**
     * Returns the slot to read next in a binary search for the newest generation; null if that
     * generation is cached. The slots after its slot hold older generations or none.
     */
    private fun newerSlot(newest: ClaimSlice, limits: ClaimLimits): Int? {
        if (!newest.isSealed) return null
        val slot = limits.slotOf(newest.generation)
        val end = slots.keys.filter { it > slot }.minOrNull() ?: limits.slotCount
        val next = limits.slotOf(newest.generation + 1)
        return when {
            end - slot > 1 -> (slot + end) / 2
            next !in slots -> next
            else -> null
        }
    }

    private fun olderSlot(newest: ClaimSlice, nowMs: Long, limits: ClaimLimits): Int? {
        val oldest = maxOf(0, newest.generation - limits.slotCount + 1)
        for (generation in newest.generation - 1 downTo oldest) {
            val slot = limits.slotOf(generation)
            val slice = slots[slot]?.slice?.takeIf { it.generation == generation } ?: return slot
            // The clocks of the writers of two slices may differ by the clock skew.
            if (slice.isExpired(nowMs - limits.clockSkewMs, limits)) return null
        }
        return null
    }

    /** Returns the slice for the next write: the newest one, or a new one if that is sealed. */
    fun openSlice(nowMs: Long): ClaimSlice =
        when {
            newest == null -> ClaimSlice(0, nowMs, isSealed = false, ClaimBucket.of())
            newest.isSealed ->
                ClaimSlice(newest.generation + 1, nowMs, isSealed = false, ClaimBucket.of())
            else -> newest
        }

    /**
     * Returns the oldest generation that [slot] can hold, given the newest slice; negative if the
     * slot can be absent.
     */
    internal fun requiredGeneration(slot: Int, limits: ClaimLimits): Long {
        val newest = newest?.generation ?: return -1
        return newest - (newest - slot).mod(limits.slotCount)
    }

    /** Returns the cached version of [slot]; 0 if the slot is absent or not cached. */
    fun versionOf(slot: Int): Long = slots[slot]?.version ?: 0

    /** True if [slice], the newest one, must be sealed and the slot after it can be reused. */
    fun isSealDue(slice: ClaimSlice, nowMs: Long, limits: ClaimLimits): Boolean {
        val bytes = slice.bucket.sizeBytes
        val isOld = nowMs - slice.openedAtMs >= limits.sliceMs && bytes >= limits.minSliceBytes
        val replaced = slots[limits.slotOf(slice.generation + 1)]?.slice
        return (isOld || bytes >= limits.maxBucketBytes / 2) &&
            (replaced == null || replaced.isExpired(nowMs, limits))
    }

    /** Returns this ring with [value] as the content of [slot]. */
    fun with(slot: Int, value: VersionedSlice): ClaimRing = ClaimRing(slots + (slot to value))

    /** Returns this ring without [slot], so that the slot is read before the next commit. */
    fun without(slot: Int): ClaimRing = ClaimRing(slots - slot)

    /** Returns this ring without the slots that another writer may have changed. */
    fun withoutNewest(limits: ClaimLimits): ClaimRing {
        val generation = newest?.generation ?: return unread()
        return ClaimRing(slots - limits.slotOf(generation) - limits.slotOf(generation + 1))
    }

    companion object {
        /** Returns a ring for which no slot has been read. */
        fun unread(): ClaimRing = ClaimRing(emptyMap())
    }
}
