package org.jacinthlink.decision.claims

/**
 * What is known of the slices of a bucket, by slot of the key-value service.
 *
 * Generation `g` is kept in slot `g % slotCount` and replaces generation `g - slotCount` there.
 * Only the newest slice changes, so a compare-and-swap of it verifies all that is known of the
 * others.
 */
class ClaimRing private constructor(private val slots: Map<Int, VersionedSlice>) {
    private val slices: List<ClaimSlice> =
        slots.values.mapNotNull { it.slice }.sortedByDescending { it.generation }
    private val newest: ClaimSlice? = slices.firstOrNull()

    /** Number of claims, expired ones of sealed slices included. */
    val claimCount: Int get() = slices.sumOf { it.bucket.claims.size }

    /** Latest state of the claim of [key]. */
    fun find(key: String): Claim? = slices.firstNotNullOfOrNull { it.bucket.claims[key] }

    /** The claim of [key] unless it has expired. */
    fun find(key: String, nowMs: Long, limits: ClaimLimits): Claim? =
        find(key)?.takeIf { nowMs < it.expiresAtMs + limits.clockSkewMs }

    /** Slot to read before the next commit; null if all slices that matter are known. */
    fun slotToRead(nowMs: Long, limits: ClaimLimits): Int? {
        val newest = newest ?: return if (0 in slots) null else 0
        return newerSlot(newest, limits) ?: olderSlot(newest, nowMs, limits)
    }

    /** Narrows down the newest generation; later slots hold older generations or none. */
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

    /** Slice that takes the next write; sealed slices are followed by a new one. */
    fun openSlice(nowMs: Long): ClaimSlice =
        when {
            newest == null -> ClaimSlice(0, nowMs, isSealed = false, ClaimBucket.of())
            newest.isSealed ->
                ClaimSlice(newest.generation + 1, nowMs, isSealed = false, ClaimBucket.of())
            else -> newest
        }

    /** Generation that [slot] holds at least, since the newest slice follows it. */
    internal fun requiredGeneration(slot: Int, limits: ClaimLimits): Long {
        val newest = newest?.generation ?: return -1
        return newest - (newest - slot).mod(limits.slotCount)
    }

    /** Version of [slot] as last seen. */
    fun versionOf(slot: Int): Long = slots[slot]?.version ?: 0

    /** True if [slice], the newest one, is to be sealed and the slot after it can be reused. */
    fun isSealDue(slice: ClaimSlice, nowMs: Long, limits: ClaimLimits): Boolean {
        val bytes = slice.bucket.sizeBytes
        val isOld = nowMs - slice.openedAtMs >= limits.sliceMs && bytes >= limits.minSliceBytes
        val replaced = slots[limits.slotOf(slice.generation + 1)]?.slice
        return (isOld || bytes >= limits.maxBucketBytes / 2) &&
            (replaced == null || replaced.isExpired(nowMs, limits))
    }

    /** Takes what [slot] holds. */
    fun with(slot: Int, value: VersionedSlice): ClaimRing = ClaimRing(slots + (slot to value))

    /** Forgets [slot], so that it is read before the next commit. */
    fun without(slot: Int): ClaimRing = ClaimRing(slots - slot)

    /** Forgets the slots that another writer may have changed. */
    fun withoutNewest(limits: ClaimLimits): ClaimRing {
        val generation = newest?.generation ?: return unread()
        return ClaimRing(slots - limits.slotOf(generation) - limits.slotOf(generation + 1))
    }

    companion object {
        /** Nothing is known. */
        fun unread(): ClaimRing = ClaimRing(emptyMap())
    }
}
