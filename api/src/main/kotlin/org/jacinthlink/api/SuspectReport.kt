package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Requests that another stage probe [instances], whose failure the sender observed
 * (`POST /v1/suspects`).
 */
@Serializable
data class SuspectReport(val instances: List<InstanceId>)
