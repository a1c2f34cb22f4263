package org.jacinthlink.runtime.events

import kotlinx.serialization.Serializable

/**
 * One event of the time line.
 *
 * @property timeMs Wall clock of the process.
 * @property logicalTime Hybrid logical clock, so that a cause sorts before its effect on any
 *   process.
 */
@Serializable
data class Event(
    val instance: String,
    val name: String,
    val timeMs: Long,
    val logicalTime: Long,
    val requestId: String? = null,
    val fields: Map<String, String> = emptyMap()
)
