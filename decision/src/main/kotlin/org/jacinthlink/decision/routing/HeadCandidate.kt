package org.jacinthlink.decision.routing

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport

/**
 * A head to which an entry can send a request.
 *
 * @property tokensPerSecond Flow through the head in the flow plan.
 * @property report Latest load report, if any.
 * @property reportedAtMs Time at which the entry received [report].
 * @property inFlight Number of requests of this entry in flight at the head.
 * @property sentSinceReport Number of requests that this entry sent to the head after [report].
 */
data class HeadCandidate(
    val instance: InstanceId,
    val availabilityZone: String,
    val tokensPerSecond: Double,
    val report: LoadReport? = null,
    val reportedAtMs: Long = 0,
    val inFlight: Int = 0,
    val sentSinceReport: Int = 0
)
