package org.jacinthlink.decision.claims

import kotlinx.serialization.Serializable

/** Answer of a plain service, kept so that a repeated call gets it again. */
@Serializable
data class RecordedResult(val status: Int, val headers: Map<String, String>, val body: String)
