package org.jacinthlink.decision.claims

import kotlinx.serialization.Serializable

/** Response of a plain service, recorded so that a retry of the call receives it again. */
@Serializable
data class RecordedResult(val status: Int, val headers: Map<String, String>, val body: String)
