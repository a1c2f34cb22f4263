package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Asks another stage to probe [instances], which failed the sender (`POST /v1/suspects`). */
@Serializable
data class SuspectReport(val instances: List<InstanceId>)
