package org.jacinthlink.cli.load

import kotlinx.serialization.Serializable

/**
 * Figures of one second of a run.
 *
 * @property sent Requests scheduled in this second.
 * @property goodput Requests that were answered whole in this second and met their target.
 * @property timeToFirstTokenP95Ms Of the answered requests that were scheduled in this second; 0 if
 *   there are none.
 */
@Serializable
data class SecondFigures(
    val second: Int,
    val sent: Int,
    val goodput: Int,
    val timeToFirstTokenP95Ms: Double
)
