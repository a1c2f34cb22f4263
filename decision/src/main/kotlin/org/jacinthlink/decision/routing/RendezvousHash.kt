package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId

/**
 * Rendezvous hash: ranks instances for a key. The rank of the others stays when one comes or goes.
 */
object RendezvousHash {
    /** Orders [instances] by their weight for [key], the highest first. */
    fun rank(key: String, instances: Collection<InstanceId>): List<InstanceId> =
        instances
            .map { it to weight(key, it) }
            .sortedWith(
                compareByDescending<Pair<InstanceId, Long>> { it.second }
                    .thenBy { it.first.value }
            )
            .map { it.first }

    /** Weight of [instance] for [key]. */
    fun weight(key: String, instance: InstanceId): Long {
        var hash = FNV_OFFSET
        for (char in key + '\u0000' + instance.value) {
            hash =
                (hash xor char.code.toLong()) * FNV_PRIME
        }
        return mix(hash)
    }

    // FNV-1a alone leaves the last characters in the low bits; the finalizer of MurmurHash3
    // spreads them over the whole word.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
        mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
        return mixed xor (mixed ushr 33)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
