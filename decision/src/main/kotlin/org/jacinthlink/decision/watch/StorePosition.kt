package org.jacinthlink.decision.watch

/**
 * Position in the history of the store.
 *
 * The store may return from a copy that is some seconds old. It then gives out again the revisions
 * that followed the copy, and its era rises, so revisions compare within one era only.
 */
data class StorePosition(val era: Long, val revision: Long) : Comparable<StorePosition> {
    /**
     * Number that is greater for each later position, in later eras as well.
     *
     * Within one era it differs from the revision by a constant, and in era 0 it is the revision.
     */
    val fencingToken: Long
        get() = era * REVISIONS_PER_ERA + revision.coerceIn(0, REVISIONS_PER_ERA - 1)

    override fun compareTo(other: StorePosition): Int =
        compareValuesBy(this, other, { it.era }, { it.revision })

    companion object {
        /** Position before every change. */
        val START = StorePosition(0, 0)

        /** Eras whose fencing tokens are exact in JSON, whose numbers have 53 bits. */
        val ERAS = 0L..8_000L

        /** A store that makes 1,000 changes a second reaches this revision after 35 years. */
        private const val REVISIONS_PER_ERA = 1L shl 40
    }
}
