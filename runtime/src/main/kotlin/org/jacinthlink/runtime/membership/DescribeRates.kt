package org.jacinthlink.runtime.membership

/**
 * Bounds on the descriptions that one process asks for.
 *
 * @property steadyPerSecond For known instances. A description takes about 620 bytes both ways, and
 *   each process is asked as often as it asks: 8 a second took 10 of the 13 KB/s that a node has
 *   for all control. Changes that matter are announced and do not wait for their turn.
 * @property newPerSecond For instances that just appeared, so that a started process knows 600 of
 *   them in 10 s.
 */
internal data class DescribeRates(
    val steadyPerSecond: Double = 4.0,
    val newPerSecond: Double = 64.0
)
