package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * What an engine ran for one request (`GET /v1/engine/executions?request_id=`).
 *
 * @property orderViolations Number of inputs of this request that did not continue their stream.
 *   They were refused.
 */
@Serializable
data class EngineExecutions(
    val requestId: String,
    val executions: List<LayerExecution> = emptyList(),
    val orderViolations: Int = 0
)
