package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId

/**
 * Rendezvous hashing: ranks instances for a key. When an instance is added or removed, the order of
 * the others stays the same.
 */
object RendezvousHash {
    /** Returns [instances] in descending order of their weight for [key]. */
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

    // With FNV-1a alone, the last characters affect mainly the low bits. The finalizer of
    // MurmurHash3 spreads their effect over the whole word.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
        mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
        return mixed xor (mixed ushr 33)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
