package org.jacinthlink.cli.measure

import kotlinx.serialization.Serializable

/**
 * Requests of a comparison, of each kind and on each way.
 *
 * @property requests Requests that are measured.
 * @property warmUpRequests Requests before them that are not.
 * @property promptTokens Words of each prompt.
 * @property maxTokens Tokens of each answer.
 */
@Serializable
internal data class OverheadPlan(
    val requests: Int = 200,
    val warmUpRequests: Int = 100,
    val promptTokens: Int = 16,
    val maxTokens: Int = 16
)
