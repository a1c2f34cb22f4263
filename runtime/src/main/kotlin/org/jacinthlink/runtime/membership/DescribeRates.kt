package org.jacinthlink.runtime.membership

/**
 * Bounds on the descriptions that one process asks for.
 *
 * @property steadyPerSecond For known instances; at about 800 bytes both ways, 8 a second leave
 *   half of a node's 13 KB/s of control traffic to the rest.
 * @property newPerSecond For instances that just appeared, so that a started process knows 600 of
 *   them in 10 s.
 */
internal data class DescribeRates(
    val steadyPerSecond: Double = 8.0,
    val newPerSecond: Double = 64.0
)
