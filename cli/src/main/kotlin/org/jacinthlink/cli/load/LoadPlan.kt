package org.jacinthlink.cli.load

import kotlinx.serialization.Serializable

/**
 * Plan of a load run.
 *
 * @property entries Base URLs of entry instances, as `http://127.0.0.1:7001`; requests take turns.
 * @property targetsMs Target of each class: time until the first token of a stream or until the
 *   whole answer of a plain call.
 * @property callTimeoutMs Time from the scheduled send after which a request is given up.
 * @property seed Seed of random arrivals.
 * @property retriesRefused True to send a request whose connection was refused to the next entry,
 *   as a load balancer does.
 * @property hangUpAtSecond Second of the run at which all open requests are given up.
 */
@Serializable
data class LoadPlan(
    val entries: List<String>,
    val targetsMs: Map<String, Long>,
    val streams: List<LoadStream>,
    val arrivals: Arrivals = Arrivals.EVEN,
    val seed: Long = 1,
    val callTimeoutMs: Long = 30_000,
    val retriesRefused: Boolean = false,
    val hangUpAtSecond: Double? = null
)
