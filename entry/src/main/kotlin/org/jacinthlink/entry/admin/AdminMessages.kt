package org.jacinthlink.entry.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.WorkClass
import org.jacinthlink.runtime.events.Event

/** Body of `PUT /v1/admin/classes/{name}`. */
@Serializable
data class ClassBody(
    val name: String? = null,
    val targetMs: Long,
    val tokenGapMs: Long = WorkClass.DEFAULT_TOKEN_GAP_MS,
    val worth: Int
)

/** Answer to an accepted change. */
@Serializable
data class ChangeAnswer(
    val revision: Long,
    @SerialName("in_force") val inForce: List<InForce>,
    val missing: List<InstanceId>
)

/** Revision in force on [instance]. */
@Serializable
data class InForce(val instance: InstanceId, val revision: Long)

/** Answer to `GET /v1/admin/status`. */
@Serializable
data class StatusAnswer(
    val instance: InstanceId,
    val revision: Long,
    val draining: Boolean,
    val instances: List<InstanceStatus>,
    val models: List<ModelStatus>
)

/** Latest description of an instance, and when this entry received it. */
@Serializable
data class InstanceStatus(
    val description: InstanceDescription,
    @SerialName("described_at_ms") val describedAtMs: Long
)

/** Plan of one model. [boundTokensPerSecond] is the maximum flow over its stages. */
@Serializable
data class ModelStatus(
    val model: String,
    @SerialName("bound_tokens_per_second") val boundTokensPerSecond: Double,
    val heads: Int,
    val stages: Int,
    val routes: Int
)

/** Answer to `GET /v1/admin/events`. */
@Serializable
data class EventsAnswer(val events: List<Event>, val missing: List<String>)
